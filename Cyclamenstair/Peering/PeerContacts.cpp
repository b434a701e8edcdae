#include <Cyclamenstair/Peering/PeerContacts.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace cyclamenstair {

namespace {

    /// Longer than any contact counts.
    constexpr Duration contactLifetime = std::chrono::seconds(10);

} // namespace

void PeerContacts::tick(TimePoint now)
{
    if (now - m_tickedAt >= m_settings.stallTime)
        m_settledAt = now + m_settings.settleTime;
    m_tickedAt = now;
    std::erase_if(m_heardAt, [&](const auto& entry) { return now - entry.second >= contactLifetime; });
}

void PeerContacts::markHeard(const std::string& node, TimePoint now)
{
    if (isSettled(now))
        m_heardAt[node] = now;
}

TimePoint PeerContacts::heardAt(size_t count, TimePoint now) const
{
    if (count == 0)
        return isSettled(now) ? now : TimePoint();
    if (m_heardAt.size() < count)
        return {};
    std::vector<TimePoint> times;
    for (const auto& [node, heardAt] : m_heardAt)
        times.push_back(heardAt);
    const auto last = times.begin() + static_cast<std::ptrdiff_t>(count) - 1;
    std::nth_element(times.begin(), last, times.end(), std::greater<>());
    return *last;
}

} // namespace cyclamenstair

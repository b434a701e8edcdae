#include <Cyclamenstair/Node/PortionKeeper.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <cassert>

namespace cyclamenstair {

namespace {

    constexpr Duration leaseTime = milliseconds(60'000);
    /// Three renewals fit into a lease, so that one failed store call does not end it.
    constexpr Duration renewalInterval = leaseTime / 3;
    constexpr Duration retryInterval = milliseconds(2000);

    uint64_t unixMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

} // namespace

PortionKeeper::PortionKeeper(StoreClient& store, const std::string& limit, std::string holder, HasEnded hasEnded)
    : m_store(&store)
    , m_key("portion/" + limit)
    , m_limit(limit)
    , m_holder(std::move(holder))
    , m_hasEnded(std::move(hasEnded))
{
}

void PortionKeeper::renew(uint32_t wanted, uint32_t total)
{
    const auto now = monotonicNow();
    if (wanted == m_wanted && now < m_nextRenewal)
        return;
    m_nextRenewal = now + retryInterval;
    m_wanted = wanted;
    const auto read = m_store->range(m_key);
    const auto* range = std::get_if<StoreRange>(&read);
    if (!range)
        return;
    auto portions = range->records.empty() ? LeasedPortions(m_limit) : decodePortions(range->records.front().value);
    const auto revision = range->records.empty() ? 0 : range->records.front().modRevision;
    portions.reclaim(unixMs(), m_hasEnded);
    uint32_t inUse = 0;
    {
        std::lock_guard lock(m_mutex);
        // No use may begin beyond the smaller portion from here on, in case that the write takes effect unheard.
        m_slots = std::min(m_slots, wanted);
        inUse = m_inUse;
    }
    const auto slots = portions.renew(m_holder, wanted, inUse, total, unixMs() + toMilliseconds(leaseTime));
    if (!write(portions, revision))
        return;
    // While an ended holder's portion cannot be reclaimed, one load at a time goes on. It can exceed the limit by one
    // per coordinator, which slows loads down; without it, models of the ended coordinator would stay unreachable.
    if (slots == 0 && wanted > 0)
        logEvent(LogSeverity::Warning, "portion_not_granted", { { "limit", m_limit }, { "holder", m_holder } });
    setSlots(std::clamp(slots, std::min(1U, wanted), std::max(1U, wanted)), now + leaseTime);
    // A holder that got less than it wants asks again soon, because another holder may give slots back.
    m_nextRenewal = now + (slots < std::min(wanted, total) ? retryInterval : renewalInterval);
}

void PortionKeeper::surrender()
{
    {
        std::lock_guard lock(m_mutex);
        if (m_slots == 0 || m_inUse > 0)
            return;
        m_slots = 0;
    }
    m_wanted = 0;
    const auto read = m_store->range(m_key);
    const auto* range = std::get_if<StoreRange>(&read);
    if (!range || range->records.empty())
        return;
    auto portions = decodePortions(range->records.front().value);
    portions.release(m_holder);
    if (write(portions, range->records.front().modRevision))
        logEvent(LogSeverity::Info, "portion_surrendered", { { "limit", m_limit }, { "holder", m_holder } });
}

bool PortionKeeper::tryAcquire()
{
    std::lock_guard lock(m_mutex);
    if (m_inUse >= m_slots || monotonicNow() >= m_expiry)
        return false;
    ++m_inUse;
    return true;
}

void PortionKeeper::release()
{
    std::lock_guard lock(m_mutex);
    assert(m_inUse > 0);
    --m_inUse;
}

uint32_t PortionKeeper::freeSlots() const
{
    std::lock_guard lock(m_mutex);
    return m_slots > m_inUse && monotonicNow() < m_expiry ? m_slots - m_inUse : 0;
}

bool PortionKeeper::write(const LeasedPortions& portions, int64_t revision)
{
    const auto encoded = encodePortions(portions);
    StoreTransaction transaction;
    transaction.compares.push_back({ m_key, revision });
    transaction.mutations.emplace_back(StorePut { m_key, encoded });
    const auto outcome
        = m_store->transactAndConfirm(transaction, m_key, [&](const std::string& value) { return value == encoded; });
    return std::holds_alternative<StoreApplied>(outcome);
}

void PortionKeeper::setSlots(uint32_t slots, TimePoint expiry)
{
    std::lock_guard lock(m_mutex);
    m_slots = slots;
    m_expiry = expiry;
}

} // namespace cyclamenstair

#include <StandIns/RegistryStoreMeter.h>

#include <algorithm>

namespace cyclamenstair {

RegistryStoreRate rateOf(RegistryStoreCallKind kind)
{
    switch (kind) {
    case RegistryStoreCallKind::Key:
    case RegistryStoreCallKind::Range:
    case RegistryStoreCallKind::Watch:
    case RegistryStoreCallKind::LeaseRenewal:
        return RegistryStoreRate::Read;
    case RegistryStoreCallKind::Transaction:
    case RegistryStoreCallKind::LeaseGrant:
    case RegistryStoreCallKind::LeaseEnd:
        return RegistryStoreRate::Write;
    case RegistryStoreCallKind::StaleRange:
    case RegistryStoreCallKind::Unknown:
        break;
    }
    return RegistryStoreRate::None;
}

size_t RegistryStoreMeter::Window::count(TimePoint now)
{
    while (!m_times.empty() && m_times.front() <= now - milliseconds(1000))
        m_times.pop_front();
    return m_times.size();
}

void RegistryStoreMeter::countCall(RegistryStoreCallKind kind, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    ++m_calls[kind];
    auto& usage = m_usage[rateOf(kind)];
    usage.made.add(now);
    usage.peak = std::max(usage.peak, usage.made.count(now));
}

void RegistryStoreMeter::countStatus(RegistryStoreCallKind kind, uint32_t status)
{
    std::lock_guard lock(m_mutex);
    ++m_statuses[{ kind, status }];
}

bool RegistryStoreMeter::admit(RegistryStoreCallKind kind, const RegistryStoreLimits& limits, TimePoint now)
{
    const auto rate = rateOf(kind);
    if (rate == RegistryStoreRate::None)
        return true;
    const auto& limit = rate == RegistryStoreRate::Write ? limits.maxWritesPerSecond : limits.maxReadsPerSecond;
    if (!limit)
        return true;
    std::lock_guard lock(m_mutex);
    auto& admitted = m_usage[rate].admitted;
    if (admitted.count(now) >= *limit)
        return false;
    admitted.add(now);
    return true;
}

size_t RegistryStoreMeter::callCount(RegistryStoreCallKind kind) const
{
    std::lock_guard lock(m_mutex);
    const auto found = m_calls.find(kind);
    return found == m_calls.end() ? 0 : found->second;
}

size_t RegistryStoreMeter::statusCount(RegistryStoreCallKind kind, uint32_t status) const
{
    std::lock_guard lock(m_mutex);
    const auto found = m_statuses.find({ kind, status });
    return found == m_statuses.end() ? 0 : found->second;
}

size_t RegistryStoreMeter::peakCallsPerSecond(RegistryStoreRate rate) const
{
    std::lock_guard lock(m_mutex);
    const auto found = m_usage.find(rate);
    return found == m_usage.end() ? 0 : found->second.peak;
}

} // namespace cyclamenstair

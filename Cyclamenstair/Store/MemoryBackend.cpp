#include <Cyclamenstair/Store/MemoryBackend.h>

namespace cyclamenstair {

StoreReadOutcome MemoryBackend::range(const std::string& key, bool isPrefix, Duration)
{
    if (m_faults->isUnreachable)
        return StoreUnavailable { "the store is unreachable" };
    return m_store->range(key, isPrefix);
}

StoreWriteOutcome MemoryBackend::transact(const StoreTransaction& transaction, Duration)
{
    if (m_faults->isUnreachable)
        return StoreNotApplied { StoreRefusal::NotSent, "the store is unreachable" };
    auto outcome = m_store->transact(transaction);
    if (m_faults->responsesToDrop > 0) {
        --m_faults->responsesToDrop;
        return StoreOutcomeUnknown { "the store's response was lost" };
    }
    return outcome;
}

std::optional<int64_t> MemoryBackend::grantLease(Duration timeToLive, Duration)
{
    if (m_faults->isUnreachable)
        return std::nullopt;
    return m_store->grantLease(timeToLive, monotonicNow());
}

StoreLeaseOutcome MemoryBackend::keepLeaseAlive(int64_t leaseId, Duration)
{
    if (m_faults->isUnreachable)
        return StoreLeaseOutcome::Unavailable;
    m_store->expireLeases(monotonicNow());
    return m_store->keepLeaseAlive(leaseId, monotonicNow()) ? StoreLeaseOutcome::Alive : StoreLeaseOutcome::Expired;
}

StoreLeaseOutcome MemoryBackend::revokeLease(int64_t leaseId, Duration)
{
    if (m_faults->isUnreachable)
        return StoreLeaseOutcome::Unavailable;
    return m_store->revokeLease(leaseId) ? StoreLeaseOutcome::Alive : StoreLeaseOutcome::Expired;
}

std::optional<int64_t> MemoryBackend::waitForChange(
    const std::string& prefix, int64_t revision, Duration timeout, const std::stop_token& stop)
{
    if (m_faults->isUnreachable)
        return std::nullopt;
    return m_store->waitForChange(prefix, revision, timeout, stop);
}

} // namespace cyclamenstair

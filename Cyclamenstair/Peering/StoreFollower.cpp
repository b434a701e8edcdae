#include <Cyclamenstair/Peering/StoreFollower.h>

namespace cyclamenstair {

StoreFollower::StoreFollower(size_t prefixCount, StoreFollowerSettings settings)
    : m_prefixCount(prefixCount)
    , m_settings(settings)
{
}

void StoreFollower::setCollector(const std::string& collector)
{
    if (collector == m_collector)
        return;
    m_collector = collector;
    m_syncedPrefixes.clear();
    m_hasCollectorRecords = true;
    m_confirmedAt = {};
    m_requestedAt = {};
}

bool StoreFollower::accept(const StoreUpdate& update)
{
    if (update.node != m_collector)
        return false;
    const bool isSyncResponse = update.isFull && (m_syncedPrefixes.empty() || update.sequence == m_sequence);
    if (isSyncResponse) {
        m_sequence = update.sequence;
        m_syncedPrefixes.insert(update.prefix);
        return true;
    }
    if (!isSynced() || update.sequence != m_sequence + 1) {
        m_syncedPrefixes.clear();
        return false;
    }
    m_sequence = update.sequence;
    return true;
}

void StoreFollower::handle(const LoadSummary& summary, TimePoint now)
{
    if (summary.node != m_collector)
        return;
    m_hasCollectorRecords = summary.storeSequence != 0;
    // A collector that loses the store for a moment reads all records again, which makes up for what it missed.
    if (!m_hasCollectorRecords)
        return;
    if (isSynced() && summary.storeSequence == m_sequence)
        m_confirmedAt = now;
    else
        m_syncedPrefixes.clear();
}

bool StoreFollower::shouldRequestSync(TimePoint now)
{
    if (!m_hasCollectorRecords || isSynced() || now - m_requestedAt < m_settings.syncInterval)
        return false;
    m_requestedAt = now;
    return true;
}

bool StoreFollower::isCurrent(TimePoint now) const
{
    return isSynced() && now - m_confirmedAt < m_settings.confirmationLifetime;
}

} // namespace cyclamenstair

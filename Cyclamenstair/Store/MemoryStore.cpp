#include <Cyclamenstair/Store/MemoryStore.h>

#include <Cyclamenstair/Core/Overloaded.h>

namespace cyclamenstair {

StoreRange MemoryStore::range(const std::string& key, bool isPrefix) const
{
    std::lock_guard lock(m_mutex);
    StoreRange result;
    result.revision = m_revision;
    for (auto record = m_records.lower_bound(key); record != m_records.end(); ++record) {
        const bool isMatch = isPrefix ? record->first.starts_with(key) : record->first == key;
        if (!isMatch)
            break;
        result.records.push_back(record->second);
    }
    return result;
}

StoreWriteOutcome MemoryStore::transact(const StoreTransaction& transaction)
{
    std::lock_guard lock(m_mutex);

    // Check all conditions and leases before the first mutation.
    for (const auto& compare : transaction.compares) {
        const auto found = m_records.find(compare.key);
        const int64_t modRevision = found == m_records.end() ? 0 : found->second.modRevision;
        if (modRevision != compare.modRevision)
            return StoreNotApplied { StoreRefusal::Conflict,
                "key '" + compare.key + "' is not at the expected revision" };
    }
    for (const auto& mutation : transaction.mutations) {
        const auto* put = std::get_if<StorePut>(&mutation);
        if (put && put->leaseId != 0 && !m_leases.contains(put->leaseId))
            return StoreNotApplied { StoreRefusal::Rejected, "requested lease not found" };
    }

    // Apply all mutations at one revision.
    ++m_revision;
    for (const auto& mutation : transaction.mutations) {
        std::visit(Overloaded {
                       [&](const StorePut& put) {
                           m_records[put.key] = { put.key, put.value, m_revision, put.leaseId };
                           m_deletionRevisions.erase(put.key);
                       },
                       [&](const StoreDelete& deletion) {
                           if (m_records.erase(deletion.key))
                               m_deletionRevisions[deletion.key] = m_revision;
                       },
                   },
            mutation);
    }
    m_changed.notify_all();
    return StoreApplied { m_revision };
}

int64_t MemoryStore::grantLease(Duration timeToLive, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    const int64_t leaseId = m_nextLeaseId++;
    m_leases[leaseId] = { timeToLive, now + timeToLive };
    return leaseId;
}

bool MemoryStore::keepLeaseAlive(int64_t leaseId, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    const auto lease = m_leases.find(leaseId);
    if (lease == m_leases.end())
        return false;
    lease->second.expiry = now + lease->second.timeToLive;
    return true;
}

bool MemoryStore::revokeLease(int64_t leaseId)
{
    std::lock_guard lock(m_mutex);
    if (!m_leases.erase(leaseId))
        return false;
    deleteKeysOfLease(leaseId);
    return true;
}

void MemoryStore::expireLeases(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.expiry >= now) {
            ++lease;
            continue;
        }
        const int64_t leaseId = lease->first;
        lease = m_leases.erase(lease);
        deleteKeysOfLease(leaseId);
    }
}

std::optional<int64_t> MemoryStore::waitForChange(
    const std::string& prefix, int64_t revision, Duration timeout, const std::stop_token& stop) const
{
    std::unique_lock lock(m_mutex);
    if (!m_changed.wait_for(lock, stop, timeout, [&] { return hasChangedSince(prefix, revision); }))
        return std::nullopt;
    return m_revision;
}

void MemoryStore::deleteKeysOfLease(int64_t leaseId)
{
    ++m_revision;
    for (auto record = m_records.begin(); record != m_records.end();) {
        if (record->second.leaseId == leaseId) {
            m_deletionRevisions[record->first] = m_revision;
            record = m_records.erase(record);
        } else
            ++record;
    }
    m_changed.notify_all();
}

bool MemoryStore::hasChangedSince(const std::string& prefix, int64_t revision) const
{
    for (auto record = m_records.lower_bound(prefix); record != m_records.end() && record->first.starts_with(prefix);
         ++record) {
        if (record->second.modRevision > revision)
            return true;
    }
    for (auto key = m_deletionRevisions.lower_bound(prefix);
         key != m_deletionRevisions.end() && key->first.starts_with(prefix); ++key) {
        if (key->second > revision)
            return true;
    }
    return false;
}

} // namespace cyclamenstair

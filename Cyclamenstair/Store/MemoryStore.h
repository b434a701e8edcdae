#pragma once

#include <Cyclamenstair/Core/Time.h>
#include <Cyclamenstair/Store/StoreTypes.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <stop_token>

namespace cyclamenstair {

/// In-memory key-value store with compare-and-swap, leases and watches, for tests and the store stand-in. Thread-safe.
///
/// Not sharded, because all writes are ordered by one revision counter.
class MemoryStore {
public:
    /// Returns the records with the given key, or with the given prefix.
    StoreRange range(const std::string& key, bool isPrefix) const;

    /// Applies all mutations at one revision if all conditions hold and all leases exist; never returns
    /// StoreOutcomeUnknown.
    StoreWriteOutcome transact(const StoreTransaction& transaction);

    /// Creates a lease that expires after `timeToLive` unless it is kept alive.
    int64_t grantLease(Duration timeToLive, TimePoint now);

    /// Extends the lease; returns false if it does not exist.
    bool keepLeaseAlive(int64_t leaseId, TimePoint now);

    /// Deletes the lease and its keys; returns false if it does not exist.
    bool revokeLease(int64_t leaseId);

    /// Deletes all leases that expired before `now`, with their keys.
    void expireLeases(TimePoint now);

    /// Waits up to `timeout` until a key with the prefix changes after `revision` or `stop` is requested. Returns the
    /// current revision if there was a change, or no value.
    std::optional<int64_t> waitForChange(
        const std::string& prefix, int64_t revision, Duration timeout, const std::stop_token& stop = {}) const;

private:
    struct Lease {
        Duration timeToLive;
        TimePoint expiry;
    };

    /// Deletes the keys that are bound to the lease. The caller holds the lock.
    void deleteKeysOfLease(int64_t leaseId);
    /// Returns whether a key with the prefix changed after `revision`. The caller holds the lock.
    bool hasChangedSince(const std::string& prefix, int64_t revision) const;

    mutable std::mutex m_mutex;
    mutable std::condition_variable_any m_changed;
    std::map<std::string, StoreRecord> m_records;
    std::map<std::string, int64_t> m_deletionRevisions; ///< Revision at which each key was deleted, for watches.
    std::map<int64_t, Lease> m_leases;
    int64_t m_revision { 1 };
    int64_t m_nextLeaseId { 1 };
};

} // namespace cyclamenstair

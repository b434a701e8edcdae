#pragma once

#include <Cyclamenstair/Store/MemoryStore.h>

#include <atomic>

namespace cyclamenstair {

/// Simulated faults of the connection between one client and a MemoryStore.
struct StoreFaults {
    std::atomic<bool> isUnreachable { false }; ///< Calls fail before they reach the store.
    std::atomic<int> responsesToDrop { 0 }; ///< Number of writes whose response is lost after they took effect.
};

/// Backend that calls a MemoryStore directly. `store` and `faults` must outlive it.
class MemoryBackend {
public:
    MemoryBackend(MemoryStore& store, StoreFaults& faults)
        : m_store(&store)
        , m_faults(&faults)
    {
    }

    StoreReadOutcome range(const std::string& key, bool isPrefix, Duration timeout);
    StoreWriteOutcome transact(const StoreTransaction& transaction, Duration timeout);
    std::optional<int64_t> grantLease(Duration timeToLive, Duration timeout);
    StoreLeaseOutcome keepLeaseAlive(int64_t leaseId, Duration timeout);
    StoreLeaseOutcome revokeLease(int64_t leaseId, Duration timeout);
    std::optional<int64_t> waitForChange(
        const std::string& prefix, int64_t revision, Duration timeout, const std::stop_token& stop = {});

private:
    MemoryStore* m_store;
    StoreFaults* m_faults;
};

} // namespace cyclamenstair

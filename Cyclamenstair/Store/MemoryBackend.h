#pragma once

#include <Cyclamenstair/Store/MemoryStore.h>

#include <atomic>

namespace cyclamenstair {

/// Faults of the path between one client and a MemoryStore.
struct StoreFaults {
    std::atomic<bool> isDown { false }; ///< Calls do not reach the store.
    std::atomic<int> answersToLose { 0 }; ///< Writes whose answer is lost after the effect.
};

/// Backend that calls a MemoryStore directly. Store and faults must outlive it.
class MemoryBackend {
public:
    MemoryBackend(MemoryStore& store, StoreFaults& faults)
        : m_store(&store)
        , m_faults(&faults)
    {
    }

    StoreReadOutcome range(const std::string& key, bool isPrefix, Duration limit);
    StoreWriteOutcome transact(const StoreTransaction& transaction, Duration limit);
    std::optional<int64_t> grantLease(Duration timeToLive, Duration limit);
    StoreLeaseOutcome keepLeaseAlive(int64_t leaseId, Duration limit);
    StoreLeaseOutcome revokeLease(int64_t leaseId, Duration limit);
    std::optional<int64_t> waitForChange(
        const std::string& prefix, int64_t revision, Duration limit, const std::stop_token& stop = {});

private:
    MemoryStore* m_store;
    StoreFaults* m_faults;
};

} // namespace cyclamenstair

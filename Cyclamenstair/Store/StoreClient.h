#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Store/EtcdBackend.h>
#include <Cyclamenstair/Store/MemoryBackend.h>

#include <functional>
#include <map>

namespace cyclamenstair {

using StoreBackend = std::variant<EtcdBackend, MemoryBackend>;

/// Settings of a StoreClient.
struct StoreClientSettings {
    Duration callTimeout { milliseconds(1000) }; ///< Longest time for one call.
    double callsPerSecond { 20.0 }; ///< Calls that the node may make on average.
    double burst { 100.0 }; ///< Calls above the average that may come at once.
};

/// The node's access to the platform's store: deadline, budget, counting and classification of each call. Callable from
/// many threads.
class StoreClient {
public:
    StoreClient(StoreBackend backend, StoreClientSettings settings);

    /// Returns the records with the given key, or with the given prefix.
    StoreReadOutcome range(const std::string& key, bool isPrefix = false);

    /// Applies the transaction. An unknown outcome stays unknown; use transactSettled() where it must be known.
    StoreWriteOutcome transact(const StoreTransaction& transaction);

    /// As transact(), but an unknown outcome is settled by reading `key` back: `isOwn` tells whether the value found is
    /// the one that the transaction wrote. StoreUnknown is returned only if the read fails, too.
    StoreWriteOutcome transactSettled(const StoreTransaction& transaction, const std::string& key,
        const std::function<bool(const std::string& value)>& isOwn);

    std::optional<int64_t> grantLease(Duration timeToLive);
    StoreLeaseOutcome keepLeaseAlive(int64_t leaseId);
    StoreLeaseOutcome revokeLease(int64_t leaseId);

    /// Waits until a key with the prefix changes after `revision`, at most for `limit` or until `stop` is requested.
    /// Returns the store's revision if there was a change.
    std::optional<int64_t> waitForChange(
        const std::string& prefix, int64_t revision, Duration limit, const std::stop_token& stop = {});

    /// Returns the calls made so far by kind; a waiting watch counts as one.
    std::map<StoreCallKind, uint64_t> callCounts() const;

private:
    /// Takes one call from the budget and counts it; returns false if the budget is used up.
    bool beginCall(StoreCallKind kind);

    StoreBackend m_backend;
    StoreClientSettings m_settings;
    Sharded<StoreCallKind, std::map<StoreCallKind, uint64_t>, 6> m_counts;
    std::mutex m_budgetMutex;
    double m_budget;
    TimePoint m_budgetTime;
};

} // namespace cyclamenstair

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
    Duration callTimeout { milliseconds(1000) }; ///< Maximum duration of a call other than a watch.
    double callsPerSecond { 20.0 }; ///< Sustained rate of the node's calls.
    double burst { 100.0 }; ///< Calls that may exceed the rate at one time.
};

/// The node's client of the platform's store. Applies a timeout and the call budget to each call, and counts the calls.
/// Thread-safe.
class StoreClient {
public:
    StoreClient(StoreBackend backend, StoreClientSettings settings);

    /// Returns the records with the given key, or with the given prefix.
    StoreReadOutcome range(const std::string& key, bool isPrefix = false);

    /// Applies the transaction. The outcome can be StoreOutcomeUnknown; use transactAndConfirm() where it must be
    /// known.
    StoreWriteOutcome transact(const StoreTransaction& transaction);

    /// Same as transact(), but resolves an unknown outcome by reading `key` and, if needed, retrying the transaction.
    /// `isWrittenValue` returns whether a value is the one that the transaction writes. Returns StoreOutcomeUnknown
    /// only if these calls fail, too.
    StoreWriteOutcome transactAndConfirm(const StoreTransaction& transaction, const std::string& key,
        const std::function<bool(const std::string& value)>& isWrittenValue);

    /// Creates a lease and returns its id, or no value if the call failed.
    std::optional<int64_t> grantLease(Duration timeToLive);
    StoreLeaseOutcome keepLeaseAlive(int64_t leaseId);
    StoreLeaseOutcome revokeLease(int64_t leaseId);

    /// Waits up to `timeout` until a key with the prefix changes after `revision` or `stop` is requested. Returns the
    /// store's revision if there was a change, or no value.
    std::optional<int64_t> waitForChange(
        const std::string& prefix, int64_t revision, Duration timeout, const std::stop_token& stop = {});

    /// Returns the number of calls made so far by kind; a watch counts as one call when it starts.
    std::map<StoreCallKind, uint64_t> callCounts() const;

private:
    /// Acquires one call from the budget and counts it; returns false if the budget is exhausted.
    bool tryAcquireCall(StoreCallKind kind);

    StoreBackend m_backend;
    StoreClientSettings m_settings;
    Sharded<StoreCallKind, std::map<StoreCallKind, uint64_t>, 6> m_counts;
    std::mutex m_budgetMutex;
    double m_availableCalls; ///< Budget at m_budgetTime; refilled up to the burst.
    TimePoint m_budgetTime;
};

} // namespace cyclamenstair

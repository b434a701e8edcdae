#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <unordered_map>

namespace cyclamenstair {

/// Retry allowance for one target or for the whole node.
struct RetryAllowance {
    double share { 0.1 }; ///< Retries as a fraction of the first attempts.
    double perSecond { 10 }; ///< Retries per second that are allowed regardless of the number of requests.
    /// Maximum number of retries that can accumulate; a crashed target fails all its requests simultaneously.
    double burst { 64 };
};

/// Bounds retries per target and for the whole node, so that failures do not multiply the load. A retry without credit
/// must be delayed, not dropped. Thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(RetryAllowance perTarget = { 0.1, 5, 32 }, RetryAllowance total = {})
        : m_targetAllowance(perTarget)
        , m_totalAllowance(total)
    {
    }

    /// Divides each target's `perSecond` and `burst` among this many nodes; `share` applies to each node as it is.
    void setNodeCount(uint32_t nodes) { m_nodeCount = std::max(1U, nodes); }

    /// Adds the credit of a first attempt at the target.
    void recordFirstAttempt(const std::string& target, TimePoint now);

    /// Charges a retry at the target; returns false if its credit or the node's is used up.
    bool tryAcquire(const std::string& target, TimePoint now);

private:
    struct Bucket {
        double credit { 0 };
        TimePoint refilledAt;
        bool isNew { true };
    };
    using Buckets = std::unordered_map<std::string, Bucket>;

    static void refill(Bucket& bucket, const RetryAllowance& allowance, TimePoint now);
    static void addShare(Bucket& bucket, const RetryAllowance& allowance, TimePoint now);
    static bool tryAcquireFrom(Bucket& bucket, const RetryAllowance& allowance, TimePoint now);

    /// Returns this node's part of the allowance for one target.
    RetryAllowance targetAllowanceOfNode() const;

    RetryAllowance m_targetAllowance;
    RetryAllowance m_totalAllowance;
    std::atomic<uint32_t> m_nodeCount { 1 };
    Sharded<std::string, Buckets> m_targets;
    std::mutex m_totalMutex; ///< Not sharded, because the bound is exact for the whole node.
    Bucket m_totalBucket;
};

} // namespace cyclamenstair

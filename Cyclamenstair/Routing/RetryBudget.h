#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <unordered_map>

namespace cyclamenstair {

/// Settings of a RetryBudget: allowance for one scope.
struct RetryAllowance {
    double share { 0.1 }; ///< Retries as a share of first attempts.
    double perSecond { 10 }; ///< Retries that are allowed however few requests there are.
    double burst { 64 }; ///< Retries that may be saved up; a target that dies breaks all its requests at once.
};

/// Bounds retries for each target and in all, so that failures do not multiply the load. A retry that is not allowed
/// yet waits; it is never dropped. Callable from many threads.
class RetryBudget {
public:
    explicit RetryBudget(RetryAllowance perTarget = { 0.1, 5, 32 }, RetryAllowance total = {})
        : m_perTarget(perTarget)
        , m_total(total)
    {
    }

    /// Divides the allowance per target, but for its share of the attempts, among this many nodes.
    void setNodes(uint32_t nodes) { m_nodes = std::max(1U, nodes); }

    /// Counts a first attempt at the target.
    void countAttempt(const std::string& target, TimePoint now);

    /// Takes a retry at the target; returns false if the budgets do not allow it now.
    bool take(const std::string& target, TimePoint now);

private:
    struct Bucket {
        double saved { 0 };
        TimePoint filledAt;
        bool isNew { true };
    };
    using Buckets = std::unordered_map<std::string, Bucket>;

    static void fill(Bucket& bucket, const RetryAllowance& allowance, TimePoint now);
    static void count(Bucket& bucket, const RetryAllowance& allowance, TimePoint now);
    static bool takeFrom(Bucket& bucket, const RetryAllowance& allowance, TimePoint now);

    /// Returns this node's part of the allowance per target.
    RetryAllowance perTarget() const;

    RetryAllowance m_perTarget;
    RetryAllowance m_total;
    std::atomic<uint32_t> m_nodes { 1 };
    Sharded<std::string, Buckets> m_targets;
    std::mutex m_totalMutex; ///< The total is one number for the whole node, which shards would make inexact.
    Bucket m_totalBucket;
};

} // namespace cyclamenstair

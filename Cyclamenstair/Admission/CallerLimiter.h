#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace cyclamenstair {

/// Rate limit of a caller across all nodes.
struct CallerLimit {
    double requestsPerSecond { 0 }; ///< 0 for no limit.
    double burst { 0 }; ///< Maximum number of requests that exceed the rate in a burst.
};

/// Requests per second by caller.
using CallerDemands = std::map<std::string, double>;

/// Limits each caller's request rate with a token bucket. Thread-safe.
///
/// A node's share of a caller's rate is proportional to its share of the demand, which the nodes exchange in the
/// background, so that no request needs a call to another process. The shares of all nodes add up to the rate once all
/// nodes have received the same demands.
class CallerLimiter {
public:
    /// Consumes a token and returns no value; if there is none, returns the time until one is expected.
    std::optional<Duration> consumeOrGetDelay(
        const std::string& caller, const CallerLimit& limit, size_t liveNodes, TimePoint now);

    /// Sets the sum of the other nodes' demands by caller.
    void setRemoteDemands(const CallerDemands& demands);

    /// Returns this node's demand, including refused requests, of callers with a limit and recent requests.
    CallerDemands demands(TimePoint now) const;

private:
    struct Bucket {
        double tokens { 0 };
        TimePoint refilledAt;
        double demand { 0 }; ///< Exponentially decaying average, in requests per second.
        TimePoint demandUpdatedAt;
        double remoteDemand { 0 };
        bool isNew { true };
    };
    using Buckets = std::unordered_map<std::string, Bucket>;

    Sharded<std::string, Buckets> m_buckets; ///< By caller.
};

} // namespace cyclamenstair

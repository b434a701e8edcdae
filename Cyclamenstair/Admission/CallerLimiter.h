#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace cyclamenstair {

/// Limit of a caller over all nodes.
struct CallerLimit {
    double requestsPerSecond { 0 }; ///< Zero for no limit.
    double burst { 0 }; ///< Requests above the rate that may come at once.
};

/// Requests a second by caller.
using CallerDemands = std::map<std::string, double>;

/// Keeps callers to their rates with a token bucket each. Callable from many threads.
///
/// A node's share of a caller's rate follows the demand that the nodes tell each other about. The shares of all nodes
/// add up to the rate when they know the same demands; no request needs a call to another process.
class CallerLimiter {
public:
    /// Takes a token; returns the time after which one is expected if there is none.
    std::optional<Duration> take(const std::string& caller, const CallerLimit& limit, size_t liveNodes, TimePoint now);

    /// Takes the sum of the other nodes' demands by caller.
    void setOtherDemands(const CallerDemands& demands);

    /// Returns this node's demand, refused requests included, for callers with a limit and recent requests.
    CallerDemands demands(TimePoint now) const;

private:
    struct Bucket {
        double tokens { 0 };
        TimePoint filledAt;
        double demand { 0 }; ///< Requests a second, decaying average.
        TimePoint demandAt;
        double otherDemand { 0 };
        bool isNew { true };
    };
    using Buckets = std::unordered_map<std::string, Bucket>;

    Sharded<std::string, Buckets> m_buckets; ///< By caller.
};

} // namespace cyclamenstair

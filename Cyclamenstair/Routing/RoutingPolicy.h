#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Routing/TargetTable.h>

#include <atomic>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenstair {

/// A target that holds the artifact of a request.
struct RouteCandidate {
    std::string target;
    std::string address;
    std::string failureDomain;
};

/// Takes the candidates in turn; the baseline of measurements.
struct RoundRobinPolicy { };

/// Takes the candidate with the fewest attempts of this node in flight; ties are broken at random.
struct LeastInFlightPolicy { };

using RoutingPolicy = std::variant<RoundRobinPolicy, LeastInFlightPolicy>;

/// Picks the target of an attempt. Callable from many threads.
class Router {
public:
    Router(RoutingPolicy policy, const TargetTable& targets)
        : m_policy(policy)
        , m_targets(&targets)
    {
    }

    /// Returns the index of the chosen candidate, or no value if there are none.
    std::optional<size_t> pick(const std::vector<RouteCandidate>& candidates, Random& random);

private:
    size_t pickBy(const RoundRobinPolicy& policy, const std::vector<RouteCandidate>& candidates, Random& random);
    size_t pickBy(const LeastInFlightPolicy& policy, const std::vector<RouteCandidate>& candidates, Random& random);

    RoutingPolicy m_policy;
    const TargetTable* m_targets;
    std::atomic<size_t> m_turn { 0 };
};

} // namespace cyclamenstair

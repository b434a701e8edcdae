#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Routing/PrefixTable.h>
#include <Cyclamenstair/Routing/RoutingPolicy.h>
#include <Cyclamenstair/Routing/StragglerDetector.h>
#include <Cyclamenstair/Routing/TargetTable.h>

#include <atomic>
#include <optional>
#include <vector>

namespace cyclamenstair {

/// Picks the target of an attempt. Callable from many threads.
class Router {
public:
    Router(RoutingPolicy policy, const TargetTable& targets, StragglerDetector& detector)
        : m_policy(policy)
        , m_targets(&targets)
        , m_detector(&detector)
    {
    }

    /// Returns the index of the chosen candidate, or no value if there are none.
    std::optional<size_t> pick(const std::vector<RouteCandidate>& candidates, const RouteQuery& query, Random& random);

private:
    using Candidates = std::vector<RouteCandidate>;

    size_t pickBy(const RoundRobinPolicy& policy, const Candidates& candidates, const RouteQuery&, Random& random);
    size_t pickBy(const LeastInFlightPolicy& policy, const Candidates& candidates, const RouteQuery&, Random& random);
    size_t pickBy(const WeightedPolicy& policy, const Candidates& candidates, const RouteQuery& query, Random& random);

    /// Returns the expected work at the target, in tokens.
    double workAt(const WeightedPolicy& policy, const TargetLoad& load, const RouteQuery& query) const;

    /// Returns the prefix's target among `usable` if it may take more work.
    std::optional<size_t> affine(const WeightedPolicy& policy, const Candidates& candidates,
        const std::vector<size_t>& usable, const std::vector<double>& costs, uint64_t prefixHash) const;

    RoutingPolicy m_policy;
    const TargetTable* m_targets;
    StragglerDetector* m_detector;
    PrefixTable m_prefixes;
    std::atomic<size_t> m_turn { 0 };
};

} // namespace cyclamenstair

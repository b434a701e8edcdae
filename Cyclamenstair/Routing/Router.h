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

/// Selects the target of an attempt. Thread-safe.
class Router {
public:
    Router(RoutingPolicy policy, const TargetTable& targets, StragglerDetector& detector)
        : m_policy(policy)
        , m_targets(&targets)
        , m_detector(&detector)
    {
    }

    /// Returns the index of the selected candidate, or no value if `candidates` is empty.
    std::optional<size_t> pick(const std::vector<RouteCandidate>& candidates, const RouteQuery& query, Random& random);

private:
    using Candidates = std::vector<RouteCandidate>;

    size_t pickWith(const RoundRobinPolicy& policy, const Candidates& candidates, const RouteQuery&, Random& random);
    size_t pickWith(const LeastInFlightPolicy& policy, const Candidates& candidates, const RouteQuery&, Random& random);
    size_t pickWith(
        const WeightedPolicy& policy, const Candidates& candidates, const RouteQuery& query, Random& random);

    /// Returns the target's expected work with this request, in tokens.
    double expectedWork(const WeightedPolicy& policy, const TargetLoad& load, const RouteQuery& query) const;

    /// Returns the prefix's target among `eligible`, or no value if that target is overloaded.
    std::optional<size_t> pickByAffinity(const WeightedPolicy& policy, const Candidates& candidates,
        const std::vector<size_t>& eligible, const std::vector<double>& costs, uint64_t prefixHash) const;

    RoutingPolicy m_policy;
    const TargetTable* m_targets;
    StragglerDetector* m_detector;
    PrefixTable m_prefixTable;
    std::atomic<size_t> m_nextIndex { 0 };
};

} // namespace cyclamenstair

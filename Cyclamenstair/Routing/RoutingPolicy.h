#pragma once

#include <Cyclamenstair/Routing/RouteQuery.h>

#include <variant>

namespace cyclamenstair {

/// Selects the candidates in turn. Baseline for benchmarks.
struct RoundRobinPolicy { };

/// Selects the candidate with the fewest attempts of this node in flight. Ties are broken at random.
struct LeastInFlightPolicy { };

/// Selects the cheaper of two random candidates by expected work, last load report, speed and failure domain. A prompt
/// with a repeated prefix goes to the prefix's target unless that target is overloaded.
struct WeightedPolicy {
    /// Age at which a load report has half its weight. Reports can be several seconds old.
    Duration reportHalfLife { milliseconds(1000) };

    /// Work assumed for each reported request of another node.
    double tokensPerReportedRequest { 64 };

    /// Work of an attempt in addition to its tokens, so that the cost of idle targets differs by speed.
    double fixedTokensPerAttempt { 16 };

    /// Cost factor for targets in this node's failure domain. Close to 1, as the latency between domains is small.
    double sameDomainFactor { 0.95 };

    /// Maximum cost of the prefix's target relative to the candidates' mean cost. Above it, affinity is ignored.
    double affinityLoadBound { 1.25 };

    /// Time for which a failure or refusal increases a target's cost.
    Duration failurePenaltyDuration { milliseconds(1000) };

    /// Cost factor for each consecutive failure, up to three, within `failurePenaltyDuration`.
    double failurePenaltyFactor { 4 };
};

using RoutingPolicy = std::variant<RoundRobinPolicy, LeastInFlightPolicy, WeightedPolicy>;

} // namespace cyclamenstair

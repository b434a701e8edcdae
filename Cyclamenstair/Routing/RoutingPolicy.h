#pragma once

#include <Cyclamenstair/Routing/RouteQuery.h>

#include <variant>

namespace cyclamenstair {

/// Takes the candidates in turn; the baseline of measurements.
struct RoundRobinPolicy { };

/// Takes the candidate with the fewest attempts of this node in flight; ties are broken at random.
struct LeastInFlightPolicy { };

/// Takes the cheaper of two random candidates by expected work, late load report, speed and failure domain. A prompt
/// whose prefix was seen before goes to the prefix's target as long as that target is not overloaded.
struct WeightedPolicy {
    /// Age at which a load report counts half. Reports are several seconds late in bad cases.
    Duration reportHalfLife { milliseconds(1000) };

    /// Tokens that one reported request of another node stands for.
    double tokensPerReportedRequest { 64 };

    /// Work that every attempt causes beside its tokens, so that idle targets differ by speed.
    double baseTokens { 16 };

    /// Cost factor for targets in this node's own failure domain; the latency between domains is small.
    double sameDomainFactor { 0.95 };

    /// Load of an affine target relative to the mean of the candidates up to which affinity holds.
    double affinityLoadBound { 1.25 };

    /// Time for which a failure or refusal makes a target dear.
    Duration failurePenaltyTime { milliseconds(1000) };

    /// Cost factor for each failure in a row within that time.
    double failurePenalty { 4 };
};

using RoutingPolicy = std::variant<RoundRobinPolicy, LeastInFlightPolicy, WeightedPolicy>;

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Placement/PlacementTypes.h>

namespace cyclamenstair {

/// Baseline: gives the memory that the plan leaves to the models with the highest present demand, at each decision
/// anew.
class FollowDemandPolicy {
public:
    PlacementDecision decide(const PlacementInput& input) const;
};

} // namespace cyclamenstair

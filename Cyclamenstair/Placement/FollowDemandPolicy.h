#pragma once

#include <Cyclamenstair/Placement/PlacementTypes.h>

namespace cyclamenstair {

/// Baseline policy: assigns the memory not used by planned copies to the models with the highest current demand. Each
/// decision ignores the previous ones.
class FollowDemandPolicy {
public:
    PlacementDecision decide(const PlacementInput& input) const;
};

} // namespace cyclamenstair

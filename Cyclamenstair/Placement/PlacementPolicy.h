#pragma once

#include <Cyclamenstair/Placement/FollowDemandPolicy.h>
#include <Cyclamenstair/Placement/HysteresisPolicy.h>

#include <variant>

namespace cyclamenstair {

/// Decides which orders adapt a pool's targets to the plan and the demand. Decisions are deterministic: the same
/// sequence of inputs gives the same decisions.
using PlacementPolicy = std::variant<FollowDemandPolicy, HysteresisPolicy>;

/// Returns the policy's decision for `input`.
inline PlacementDecision decidePlacement(PlacementPolicy& policy, const PlacementInput& input)
{
    return std::visit([&](auto& alternative) { return alternative.decide(input); }, policy);
}

} // namespace cyclamenstair

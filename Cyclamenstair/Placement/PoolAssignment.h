#pragma once

#include <Cyclamenstair/Placement/PlacementTypes.h>

namespace cyclamenstair {

/// Assignment of the planned artifacts to a pool's targets.
struct PoolAssignment {
    std::map<std::string, std::vector<std::string>> artifactsByTarget;
    std::vector<std::string> unplaced; ///< Planned artifacts with too few copies because memory is insufficient.
};

/// Assigns each planned model and adapter to targets. Replicas are in different failure domains if there are enough,
/// existing copies are retained, and adapters are on targets with their base model.
PoolAssignment assignArtifacts(const Plan& plan, const std::vector<PlacementTarget>& targets);

} // namespace cyclamenstair

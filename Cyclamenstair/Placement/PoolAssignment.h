#pragma once

#include <Cyclamenstair/Placement/PlacementTypes.h>

namespace cyclamenstair {

/// Artifacts that each target should hold, and planned copies for which there is no memory.
struct PoolAssignment {
    std::map<std::string, std::vector<std::string>> artifactsByTarget;
    std::vector<std::string> unplaced;
};

/// Assigns each planned model and adapter to targets: replicas in different failure domains where there are enough,
/// present copies kept, adapters beside their base model.
PoolAssignment assignArtifacts(const Plan& plan, const std::vector<PlacementTarget>& targets);

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Plan/Plan.h>
#include <Cyclamenstair/Residency/TargetLedger.h>

#include <map>
#include <string>
#include <vector>

namespace cyclamenstair {

/// A target as placement sees it.
struct PlacementTarget {
    std::string target;
    std::string failureDomain;
    uint64_t capacityBytes { 0 };
    bool isLeaving { false };
    const TargetLedger* ledger { nullptr }; ///< What may be resident now.
};

/// Artifacts that each target should hold, and planned copies for which there is no memory.
struct PoolAssignment {
    std::map<std::string, std::vector<std::string>> artifactsByTarget;
    std::vector<std::string> unplaced;
};

/// Assigns each planned model and adapter to targets: replicas in different failure domains where there are enough,
/// present copies kept, adapters beside their base model.
PoolAssignment assignArtifacts(const Plan& plan, const std::vector<PlacementTarget>& targets);

} // namespace cyclamenstair

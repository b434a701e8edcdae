#include <Cyclamenstair/Placement/PoolAssignment.h>

#include <Cyclamenstair/Placement/CopyPlanner.h>

namespace cyclamenstair {

PoolAssignment assignArtifacts(const Plan& plan, const std::vector<PlacementTarget>& targets)
{
    const DemandByArtifact noDemand;
    CopyPlanner planner(plan, targets, noDemand);
    planner.placePlannedCopies();
    PoolAssignment assignment;
    for (const auto& [target, artifacts] : planner.copies())
        assignment.artifactsByTarget[target].assign(artifacts.begin(), artifacts.end());
    assignment.unplaced = planner.unplaced();
    return assignment;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Placement/FollowDemandPolicy.h>

#include <Cyclamenstair/Placement/CopyPlanner.h>
#include <Cyclamenstair/Placement/OrderPlanner.h>

namespace cyclamenstair {

PlacementDecision FollowDemandPolicy::decide(const PlacementInput& input) const
{
    const auto currentRate = [](const ArtifactDemand& demand) { return demand.fast; };
    CopyPlanner planner(*input.plan, input.targets, input.demand);
    planner.placePlannedCopies();
    planner.addAdapterCopies(currentRate, 0);
    planner.addModelCopies(currentRate, 0);
    return { OrderPlanner(input, planner.copies(), planner.plannedCopies()).plan(), planner.unplaced() };
}

} // namespace cyclamenstair

#include <Cyclamenstair/Placement/HysteresisPolicy.h>

#include <Cyclamenstair/Placement/CopyPlanner.h>
#include <Cyclamenstair/Placement/OrderPlanner.h>

namespace cyclamenstair {

PlacementDecision HysteresisPolicy::decide(const PlacementInput& input)
{
    updateFirstSeen(input);
    const auto sustained = [](const ArtifactDemand& demand) { return demand.sustained(); };
    const double minModelDemand = m_settings.minRequestsPerLoad / toSeconds(m_settings.minDwellTime);
    CopyPlanner planner(*input.plan, input.targets, input.demand);
    planner.placePlannedCopies();
    planner.retainExistingCopies();
    // Loading an adapter does not use the weight store, so any sustained demand justifies it.
    planner.addAdapterCopies(sustained, 0);
    planner.addModelCopies(sustained, minModelDemand);
    const auto canReplace = [&](const std::string& target, const std::string& artifact) {
        const auto copies = m_firstSeenAt.find(target);
        if (copies == m_firstSeenAt.end() || !copies->second.contains(artifact))
            return false;
        return input.now - copies->second.at(artifact) >= m_settings.minDwellTime;
    };
    for (uint32_t replacements = 0; replacements < input.budget.models; ++replacements) {
        if (!planner.replaceLowestDemandCopy(m_settings.minReplaceRatio, minModelDemand, canReplace))
            break;
    }
    return { OrderPlanner(input, planner.copies(), planner.plannedCopies()).plan(), planner.unplaced() };
}

void HysteresisPolicy::updateFirstSeen(const PlacementInput& input)
{
    std::map<std::string, std::map<std::string, TimePoint>> firstSeenAt;
    for (const auto& target : input.targets) {
        if (!target.ledger)
            continue;
        for (const auto& entry : target.ledger->entries()) {
            if (entry.mayBeResident())
                firstSeenAt[target.target][entry.artifact] = input.now;
        }
        const auto previous = m_firstSeenAt.find(target.target);
        if (previous == m_firstSeenAt.end())
            continue;
        for (auto& [artifact, time] : firstSeenAt[target.target]) {
            const auto previousEntry = previous->second.find(artifact);
            if (previousEntry != previous->second.end())
                time = previousEntry->second;
        }
    }
    m_firstSeenAt = std::move(firstSeenAt);
}

} // namespace cyclamenstair

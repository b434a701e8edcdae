#include <Cyclamenstair/Placement/HysteresisPolicy.h>

#include <Cyclamenstair/Placement/CopyPlanner.h>
#include <Cyclamenstair/Placement/OrderPlanner.h>

namespace cyclamenstair {

PlacementDecision HysteresisPolicy::decide(const PlacementInput& input)
{
    noteCopies(input);
    const auto lasting = [](const ArtifactDemand& demand) { return demand.lasting(); };
    const double leastForModel = m_settings.requestsPerLoad / toSeconds(m_settings.minDwell);
    CopyPlanner planner(*input.plan, input.targets, input.demand);
    planner.placePlanned();
    planner.keepPresentCopies();
    // An adapter's load does not use the weight store, so that any lasting demand is worth it.
    planner.addAdapterCopies(lasting, 0);
    planner.addModelCopies(lasting, leastForModel);
    planner.replaceLeastWanted(
        m_settings.replaceRatio, leastForModel, [&](const std::string& target, const std::string& artifact) {
            const auto copies = m_since.find(target);
            if (copies == m_since.end() || !copies->second.contains(artifact))
                return false;
            return input.now - copies->second.at(artifact) >= m_settings.minDwell;
        });
    return { OrderPlanner(input, planner.copies(), planner.plannedCopies()).plan(), planner.unplaced() };
}

void HysteresisPolicy::noteCopies(const PlacementInput& input)
{
    std::map<std::string, std::map<std::string, TimePoint>> since;
    for (const auto& target : input.targets) {
        if (!target.ledger)
            continue;
        for (const auto& entry : target.ledger->entries()) {
            if (entry.mayBeResident())
                since[target.target][entry.artifact] = input.now;
        }
        const auto known = m_since.find(target.target);
        if (known == m_since.end())
            continue;
        for (auto& [artifact, time] : since[target.target]) {
            const auto earlier = known->second.find(artifact);
            if (earlier != known->second.end())
                time = earlier->second;
        }
    }
    m_since = std::move(since);
}

} // namespace cyclamenstair

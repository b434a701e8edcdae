#include <Cyclamenstair/Placement/CopyPlanner.h>

#include <algorithm>
#include <tuple>

namespace cyclamenstair {

namespace {

    template <typename Rows, typename Key> Rows sortedDescendingBy(Rows rows, Key&& key)
    {
        std::stable_sort(
            rows.begin(), rows.end(), [&](const auto& left, const auto& right) { return key(left) > key(right); });
        return rows;
    }

} // namespace

CopyPlanner::CopyPlanner(const Plan& plan, const std::vector<PlacementTarget>& targets, const DemandByArtifact& demand)
    : m_plan(&plan)
    , m_demand(&demand)
{
    std::set<std::string> domains;
    for (const auto& target : targets) {
        if (target.isLeaving)
            continue;
        TargetState targetState { &target, target.capacityBytes, target.capacityBytes, {} };
        if (target.ledger) {
            targetState.unoccupiedBytes -= std::min(targetState.unoccupiedBytes, target.ledger->reservedBytes());
            for (const auto& entry : target.ledger->entries()) {
                if (!entry.mayBeResident()
                    || (!target.ledger->hasUnresolvedOrderFor(entry.artifact) && !entry.isForeign))
                    continue;
                targetState.pinned.insert(entry.artifact);
                targetState.unassignedBytes -= std::min(targetState.unassignedBytes, entry.memoryBytes);
            }
        }
        domains.insert(target.failureDomain);
        m_targetStates.push_back(std::move(targetState));
    }
    m_domainCount = domains.size();
}

void CopyPlanner::placePlannedCopies()
{
    // Places the first copies of the largest models first, because they are the hardest to place later.
    std::map<std::string, std::set<std::string>> occupiedDomains;
    std::set<std::string> incomplete;
    for (const auto& model : sortedDescendingBy(m_plan->models, [](const auto& row) { return row.memoryBytes; })) {
        if (!placeCopy(model.name, model.memoryBytes, "", occupiedDomains[model.name]))
            incomplete.insert(model.name);
    }
    for (const auto& model : sortedDescendingBy(
             m_plan->models, [](const auto& row) { return std::make_tuple(row.priority, row.memoryBytes); })) {
        for (uint32_t copy = 1; copy < model.replicas && !incomplete.contains(model.name); ++copy) {
            if (!placeCopy(model.name, model.memoryBytes, "", occupiedDomains[model.name]))
                incomplete.insert(model.name);
        }
    }
    for (const auto& adapter : sortedDescendingBy(m_plan->adapters, [](const auto& row) { return row.priority; })) {
        for (uint32_t copy = 0; copy < std::max(1U, adapter.replicas) && !incomplete.contains(adapter.name); ++copy) {
            if (!placeCopy(adapter.name, adapter.memoryBytes, adapter.model, occupiedDomains[adapter.name]))
                incomplete.insert(adapter.name);
        }
    }
    m_unplaced.assign(incomplete.begin(), incomplete.end());
    m_planned = m_copies;
}

bool CopyPlanner::placeCopy(const std::string& artifact, uint64_t memoryBytes, const std::string& baseModel,
    std::set<std::string>& occupiedDomains)
{
    TargetState* best = nullptr;
    std::tuple<bool, bool, bool, bool, uint64_t> bestRank;
    for (auto& targetState : m_targetStates) {
        const bool isNewDomain = !occupiedDomains.contains(targetState.target->failureDomain);
        // Replicas of a model share a failure domain only if there are more replicas than domains.
        if (baseModel.empty() && !isNewDomain && occupiedDomains.size() < m_domainCount)
            continue;
        if (!canPlace(targetState, artifact, memoryBytes)
            || (!baseModel.empty() && !hasBaseModel(targetState, baseModel)))
            continue;
        const bool isPinned = targetState.pinned.contains(artifact);
        const auto rank = std::make_tuple(isNewDomain, isPinned, isPresent(targetState, artifact),
            targetState.unoccupiedBytes >= memoryBytes, targetState.unassignedBytes);
        if (!best || rank > bestRank) {
            best = &targetState;
            bestRank = rank;
        }
    }
    if (!best)
        return false;
    addCopy(*best, artifact, memoryBytes);
    occupiedDomains.insert(best->target->failureDomain);
    return true;
}

void CopyPlanner::retainExistingCopies()
{
    for (const auto& model :
        sortedDescendingBy(m_plan->models, [&](const auto& row) { return demandOf(row.name).peak(); })) {
        for (auto& targetState : m_targetStates) {
            if (isPresent(targetState, model.name) && canPlace(targetState, model.name, model.memoryBytes))
                addCopy(targetState, model.name, model.memoryBytes);
        }
    }
    for (const auto& adapter : m_plan->adapters) {
        for (auto& targetState : m_targetStates) {
            if (isPresent(targetState, adapter.name) && hasBaseModel(targetState, adapter.model)
                && canPlace(targetState, adapter.name, adapter.memoryBytes))
                addCopy(targetState, adapter.name, adapter.memoryBytes);
        }
    }
}

void CopyPlanner::addModelCopies(const std::function<double(const ArtifactDemand&)>& demandRate, double minDemand)
{
    std::set<std::string> unplaceable;
    for (;;) {
        const ModelSpec* next = nullptr;
        double highestDemand = minDemand;
        for (const auto& model : m_plan->models) {
            const double demand = demandRate(demandOf(model.name)) / std::max(1U, m_copyCounts[model.name]);
            if (demand > highestDemand && !unplaceable.contains(model.name)) {
                next = &model;
                highestDemand = demand;
            }
        }
        if (!next)
            return;
        if (auto* targetState = findTargetForExtraCopy(next->name, next->memoryBytes, ""))
            addCopy(*targetState, next->name, next->memoryBytes);
        else
            unplaceable.insert(next->name);
    }
}

void CopyPlanner::addAdapterCopies(const std::function<double(const ArtifactDemand&)>& demandRate, double minDemand)
{
    for (const auto& adapter :
        sortedDescendingBy(m_plan->adapters, [&](const auto& row) { return demandRate(demandOf(row.name)); })) {
        while (demandRate(demandOf(adapter.name)) / std::max(1U, m_copyCounts[adapter.name]) > minDemand) {
            auto* targetState = findTargetForExtraCopy(adapter.name, adapter.memoryBytes, adapter.model);
            if (!targetState)
                break;
            addCopy(*targetState, adapter.name, adapter.memoryBytes);
        }
    }
}

CopyPlanner::TargetState* CopyPlanner::findTargetForExtraCopy(
    const std::string& artifact, uint64_t memoryBytes, const std::string& baseModel)
{
    TargetState* best = nullptr;
    std::tuple<bool, bool, double> bestRank;
    for (auto& targetState : m_targetStates) {
        if (!canPlace(targetState, artifact, memoryBytes)
            || (!baseModel.empty() && !hasBaseModel(targetState, baseModel)))
            continue;
        const auto rank = std::make_tuple(
            isPresent(targetState, artifact), targetState.unoccupiedBytes >= memoryBytes, -expectedLoad(targetState));
        if (!best || rank > bestRank) {
            best = &targetState;
            bestRank = rank;
        }
    }
    return best;
}

bool CopyPlanner::replaceLowestDemandCopy(double minDemandRatio, double minDemand,
    const std::function<bool(const std::string& target, const std::string& artifact)>& canReplace)
{
    // Tries the models in descending order of demand per copy.
    const auto demandPerCopy
        = [&](const ModelSpec& row) { return demandOf(row.name).sustained() / std::max(1U, m_copyCounts[row.name]); };
    const auto demandPerRemainingCopy
        = [&](const ModelSpec& row) { return demandOf(row.name).peak() / std::max(1U, m_copyCounts[row.name] - 1); };
    const auto evictionCandidates
        = sortedDescendingBy(m_plan->models, [&](const auto& row) { return -demandPerRemainingCopy(row); });
    for (const auto& model : sortedDescendingBy(m_plan->models, demandPerCopy)) {
        if (demandPerCopy(model) <= minDemand)
            return false;
        for (auto& targetState : m_targetStates) {
            if (hasCopy(targetState, model.name) || targetState.pinned.contains(model.name))
                continue;
            // Collects unplanned copies, in ascending order of demand, until the new copy fits.
            std::vector<const ModelSpec*> removed;
            uint64_t availableBytes = targetState.unassignedBytes;
            for (const auto& candidate : evictionCandidates) {
                if (availableBytes >= model.memoryBytes)
                    break;
                const bool isReplaceable = hasCopy(targetState, candidate.name)
                    && !m_planned[targetState.target->target].contains(candidate.name)
                    && !targetState.pinned.contains(candidate.name) && m_copyCounts[candidate.name] > 1;
                if (!isReplaceable || demandPerCopy(model) <= minDemandRatio * demandPerRemainingCopy(candidate)
                    || !canReplace(targetState.target->target, candidate.name))
                    continue;
                removed.push_back(&candidate);
                availableBytes += candidate.memoryBytes;
            }
            if (availableBytes < model.memoryBytes || removed.empty())
                continue;
            for (const auto* row : removed)
                removeCopy(targetState, *row);
            addCopy(targetState, model.name, model.memoryBytes);
            return true;
        }
    }
    return false;
}

void CopyPlanner::removeCopy(TargetState& targetState, const ModelSpec& model)
{
    auto& copies = m_copies[targetState.target->target];
    const auto remove = [&](const std::string& artifact, uint64_t memoryBytes) {
        if (copies.erase(artifact) == 0)
            return;
        --m_copyCounts[artifact];
        targetState.unassignedBytes += memoryBytes;
    };
    for (const auto& adapter : m_plan->adapters) {
        if (adapter.model == model.name)
            remove(adapter.name, adapter.memoryBytes);
    }
    remove(model.name, model.memoryBytes);
}

void CopyPlanner::addCopy(TargetState& targetState, const std::string& artifact, uint64_t memoryBytes)
{
    if (!targetState.pinned.contains(artifact))
        targetState.unassignedBytes -= memoryBytes;
    if (!isPresent(targetState, artifact))
        targetState.unoccupiedBytes -= std::min(targetState.unoccupiedBytes, memoryBytes);
    m_copies[targetState.target->target].insert(artifact);
    ++m_copyCounts[artifact];
}

bool CopyPlanner::canPlace(const TargetState& targetState, const std::string& artifact, uint64_t memoryBytes) const
{
    if (hasCopy(targetState, artifact))
        return false;
    const auto* entry = targetState.target->ledger ? targetState.target->ledger->find(artifact) : nullptr;
    // A delayed unload could remove the copy at any time, and a foreign copy has unknown size and must be unloaded
    // first.
    if (entry
        && (entry->isForeign
            || (entry->hasOrder(OrderKind::Unload) && targetState.target->ledger->hasUnresolvedOrderFor(artifact))))
        return false;
    return targetState.pinned.contains(artifact) || targetState.unassignedBytes >= memoryBytes;
}

bool CopyPlanner::hasCopy(const TargetState& targetState, const std::string& artifact) const
{
    const auto copies = m_copies.find(targetState.target->target);
    return copies != m_copies.end() && copies->second.contains(artifact);
}

bool CopyPlanner::isPresent(const TargetState& targetState, const std::string& artifact) const
{
    const auto* entry = targetState.target->ledger ? targetState.target->ledger->find(artifact) : nullptr;
    return entry && entry->mayBeResident();
}

bool CopyPlanner::hasBaseModel(const TargetState& targetState, const std::string& model) const
{
    return hasCopy(targetState, model);
}

const ArtifactDemand& CopyPlanner::demandOf(const std::string& artifact) const
{
    static const ArtifactDemand s_none;
    const auto found = m_demand->find(artifact);
    return found == m_demand->end() ? s_none : found->second;
}

double CopyPlanner::expectedLoad(const TargetState& targetState) const
{
    double load = 0;
    const auto copies = m_copies.find(targetState.target->target);
    if (copies == m_copies.end())
        return 0;
    for (const auto& artifact : copies->second)
        load += demandOf(artifact).peak() / std::max(1U, m_copyCounts.at(artifact));
    return load;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Placement/CopyPlanner.h>

#include <algorithm>
#include <tuple>

namespace cyclamenstair {

namespace {

    template <typename Rows, typename Rank> Rows sortedBy(Rows rows, Rank&& rank)
    {
        std::stable_sort(
            rows.begin(), rows.end(), [&](const auto& left, const auto& right) { return rank(left) > rank(right); });
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
        Slot slot { &target, target.capacityBytes, target.capacityBytes, {} };
        if (target.ledger) {
            slot.spareBytes -= std::min(slot.spareBytes, target.ledger->reservedBytes());
            for (const auto& entry : target.ledger->entries()) {
                if (!entry.mayBeResident() || (!target.ledger->isUnsettled(entry.artifact) && !entry.isForeign))
                    continue;
                slot.pinned.insert(entry.artifact);
                slot.freeBytes -= std::min(slot.freeBytes, entry.memoryBytes);
            }
        }
        domains.insert(target.failureDomain);
        m_slots.push_back(std::move(slot));
    }
    m_domainCount = domains.size();
}

void CopyPlanner::placePlanned()
{
    // The first copy of large models goes first, because it is the hardest to place later.
    std::map<std::string, std::set<std::string>> usedDomains;
    std::set<std::string> incomplete;
    for (const auto& model : sortedBy(m_plan->models, [](const auto& row) { return row.memoryBytes; })) {
        if (!placeCopy(model.name, model.memoryBytes, "", usedDomains[model.name]))
            incomplete.insert(model.name);
    }
    for (const auto& model :
        sortedBy(m_plan->models, [](const auto& row) { return std::make_tuple(row.priority, row.memoryBytes); })) {
        for (uint32_t copy = 1; copy < model.replicas && !incomplete.contains(model.name); ++copy) {
            if (!placeCopy(model.name, model.memoryBytes, "", usedDomains[model.name]))
                incomplete.insert(model.name);
        }
    }
    for (const auto& adapter : sortedBy(m_plan->adapters, [](const auto& row) { return row.priority; })) {
        for (uint32_t copy = 0; copy < std::max(1U, adapter.replicas) && !incomplete.contains(adapter.name); ++copy) {
            if (!placeCopy(adapter.name, adapter.memoryBytes, adapter.model, usedDomains[adapter.name]))
                incomplete.insert(adapter.name);
        }
    }
    m_unplaced.assign(incomplete.begin(), incomplete.end());
    m_planned = m_copies;
}

bool CopyPlanner::placeCopy(
    const std::string& artifact, uint64_t memoryBytes, const std::string& baseModel, std::set<std::string>& usedDomains)
{
    Slot* best = nullptr;
    std::tuple<bool, bool, bool, bool, uint64_t> bestRank;
    for (auto& slot : m_slots) {
        const bool isNewDomain = !usedDomains.contains(slot.target->failureDomain);
        // Replicas of a model share a failure domain only if there are more replicas than domains.
        if (baseModel.empty() && !isNewDomain && usedDomains.size() < m_domainCount)
            continue;
        if (!canHold(slot, artifact, memoryBytes) || (!baseModel.empty() && !isBase(slot, baseModel)))
            continue;
        const bool isPinned = slot.pinned.contains(artifact);
        const auto rank = std::make_tuple(
            isNewDomain, isPinned, isPresent(slot, artifact), slot.spareBytes >= memoryBytes, slot.freeBytes);
        if (!best || rank > bestRank) {
            best = &slot;
            bestRank = rank;
        }
    }
    if (!best)
        return false;
    put(*best, artifact, memoryBytes);
    usedDomains.insert(best->target->failureDomain);
    return true;
}

void CopyPlanner::keepPresentCopies()
{
    for (const auto& model : sortedBy(m_plan->models, [&](const auto& row) { return demandOf(row.name).possible(); })) {
        for (auto& slot : m_slots) {
            if (isPresent(slot, model.name) && canHold(slot, model.name, model.memoryBytes))
                put(slot, model.name, model.memoryBytes);
        }
    }
    for (const auto& adapter : m_plan->adapters) {
        for (auto& slot : m_slots) {
            if (isPresent(slot, adapter.name) && isBase(slot, adapter.model)
                && canHold(slot, adapter.name, adapter.memoryBytes))
                put(slot, adapter.name, adapter.memoryBytes);
        }
    }
}

void CopyPlanner::addModelCopies(const std::function<double(const ArtifactDemand&)>& rate, double least)
{
    std::set<std::string> full;
    for (;;) {
        const ModelSpec* next = nullptr;
        double highest = least;
        for (const auto& model : m_plan->models) {
            const double demand = rate(demandOf(model.name)) / std::max(1U, m_copyCounts[model.name]);
            if (demand > highest && !full.contains(model.name)) {
                next = &model;
                highest = demand;
            }
        }
        if (!next)
            return;
        if (auto* slot = slotForExtra(next->name, next->memoryBytes, ""))
            put(*slot, next->name, next->memoryBytes);
        else
            full.insert(next->name);
    }
}

void CopyPlanner::addAdapterCopies(const std::function<double(const ArtifactDemand&)>& rate, double least)
{
    for (const auto& adapter : sortedBy(m_plan->adapters, [&](const auto& row) { return rate(demandOf(row.name)); })) {
        while (rate(demandOf(adapter.name)) / std::max(1U, m_copyCounts[adapter.name]) > least) {
            auto* slot = slotForExtra(adapter.name, adapter.memoryBytes, adapter.model);
            if (!slot)
                break;
            put(*slot, adapter.name, adapter.memoryBytes);
        }
    }
}

CopyPlanner::Slot* CopyPlanner::slotForExtra(
    const std::string& artifact, uint64_t memoryBytes, const std::string& baseModel)
{
    Slot* best = nullptr;
    std::tuple<bool, bool, double> bestRank;
    for (auto& slot : m_slots) {
        if (!canHold(slot, artifact, memoryBytes) || (!baseModel.empty() && !isBase(slot, baseModel)))
            continue;
        const auto rank = std::make_tuple(isPresent(slot, artifact), slot.spareBytes >= memoryBytes, -loadOf(slot));
        if (!best || rank > bestRank) {
            best = &slot;
            bestRank = rank;
        }
    }
    return best;
}

bool CopyPlanner::replaceLeastWanted(double ratio, double least,
    const std::function<bool(const std::string& target, const std::string& artifact)>& mayReplace)
{
    // The models with the highest demand per copy are tried in turn.
    const auto pressure
        = [&](const ModelSpec& row) { return demandOf(row.name).lasting() / std::max(1U, m_copyCounts[row.name]); };
    for (const auto& model : sortedBy(m_plan->models, pressure)) {
        if (pressure(model) <= least)
            return false;
        for (auto& slot : m_slots) {
            if (holds(slot, model.name) || slot.pinned.contains(model.name))
                continue;
            // Gather copies beyond the plan, the least wanted first, until the new copy fits.
            const auto wanted = [&](const ModelSpec& row) {
                return demandOf(row.name).possible() / std::max(1U, m_copyCounts[row.name] - 1);
            };
            std::vector<const ModelSpec*> removed;
            uint64_t room = slot.freeBytes;
            auto candidates = sortedBy(m_plan->models, [&](const auto& row) { return -wanted(row); });
            for (const auto& candidate : candidates) {
                if (room >= model.memoryBytes)
                    break;
                const bool isExtra = holds(slot, candidate.name)
                    && !m_planned[slot.target->target].contains(candidate.name) && !slot.pinned.contains(candidate.name)
                    && m_copyCounts[candidate.name] > 1;
                if (!isExtra || pressure(model) <= ratio * wanted(candidate)
                    || !mayReplace(slot.target->target, candidate.name))
                    continue;
                removed.push_back(m_plan->findModel(candidate.name));
                room += candidate.memoryBytes;
            }
            if (room < model.memoryBytes || removed.empty())
                continue;
            for (const auto* row : removed)
                removeCopy(slot, *row);
            put(slot, model.name, model.memoryBytes);
            return true;
        }
    }
    return false;
}

void CopyPlanner::removeCopy(Slot& slot, const ModelSpec& model)
{
    auto& copies = m_copies[slot.target->target];
    const auto remove = [&](const std::string& artifact, uint64_t memoryBytes) {
        if (copies.erase(artifact) == 0)
            return;
        --m_copyCounts[artifact];
        slot.freeBytes += memoryBytes;
    };
    for (const auto& adapter : m_plan->adapters) {
        if (adapter.model == model.name)
            remove(adapter.name, adapter.memoryBytes);
    }
    remove(model.name, model.memoryBytes);
}

void CopyPlanner::put(Slot& slot, const std::string& artifact, uint64_t memoryBytes)
{
    if (!slot.pinned.contains(artifact))
        slot.freeBytes -= memoryBytes;
    if (!isPresent(slot, artifact))
        slot.spareBytes -= std::min(slot.spareBytes, memoryBytes);
    m_copies[slot.target->target].insert(artifact);
    ++m_copyCounts[artifact];
}

bool CopyPlanner::canHold(const Slot& slot, const std::string& artifact, uint64_t memoryBytes) const
{
    if (holds(slot, artifact))
        return false;
    const auto* entry = slot.target->ledger ? slot.target->ledger->find(artifact) : nullptr;
    // A late unload could remove the copy at any time, and a copy of unknown size has to go first.
    if (entry
        && (entry->isForeign || (entry->hasOrder(OrderKind::Unload) && slot.target->ledger->isUnsettled(artifact))))
        return false;
    return slot.pinned.contains(artifact) || slot.freeBytes >= memoryBytes;
}

bool CopyPlanner::holds(const Slot& slot, const std::string& artifact) const
{
    const auto copies = m_copies.find(slot.target->target);
    return copies != m_copies.end() && copies->second.contains(artifact);
}

bool CopyPlanner::isPresent(const Slot& slot, const std::string& artifact) const
{
    const auto* entry = slot.target->ledger ? slot.target->ledger->find(artifact) : nullptr;
    return entry && entry->mayBeResident();
}

bool CopyPlanner::isBase(const Slot& slot, const std::string& model) const { return holds(slot, model); }

const ArtifactDemand& CopyPlanner::demandOf(const std::string& artifact) const
{
    static const ArtifactDemand s_none;
    const auto found = m_demand->find(artifact);
    return found == m_demand->end() ? s_none : found->second;
}

double CopyPlanner::loadOf(const Slot& slot) const
{
    double load = 0;
    const auto copies = m_copies.find(slot.target->target);
    if (copies == m_copies.end())
        return 0;
    for (const auto& artifact : copies->second)
        load += demandOf(artifact).possible() / std::max(1U, m_copyCounts.at(artifact));
    return load;
}

} // namespace cyclamenstair

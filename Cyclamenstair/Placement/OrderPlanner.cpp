#include <Cyclamenstair/Placement/OrderPlanner.h>

#include <algorithm>
#include <tuple>

namespace cyclamenstair {

OrderPlanner::OrderPlanner(const PlacementInput& input, const CopiesByTarget& copies, const CopiesByTarget& planned)
    : m_input(&input)
    , m_copies(&copies)
    , m_planned(&planned)
    , m_budget(input.budget)
{
    for (const auto& target : input.targets) {
        if (!target.ledger || target.isLeaving)
            continue;
        for (const auto& entry : target.ledger->entries()) {
            if (target.ledger->isReachable(entry.artifact))
                ++m_reachableCopies[entry.artifact];
        }
        if (target.isOrderable)
            m_targetStates.push_back({ &target, target.ledger->reservedBytes(), {}, {} });
    }
}

std::vector<PlacementOrder> OrderPlanner::plan()
{
    retryUnanswered();
    unloadUnplanned();
    for (const auto& candidate : missingCopies())
        tryAddLoad(candidate);
    return std::move(m_orders);
}

void OrderPlanner::retryUnanswered()
{
    std::erase_if(m_targetStates, [&](const TargetState& targetState) {
        const auto& ledger = *targetState.target->ledger;
        const auto* entry = ledger.unansweredEntry();
        if (!entry)
            return false;
        const auto kind = ledger.unansweredOrder(entry->artifact)->kind;
        m_orders.push_back({ kind, targetState.target->target, entry->artifact, entry->baseModel, entry->memoryBytes,
            MoveReason::Repeat, "" });
        return true;
    });
}

void OrderPlanner::unloadUnplanned()
{
    for (auto& targetState : m_targetStates) {
        for (const auto& entry : targetState.target->ledger->entries()) {
            if (entry.isForeign && canUnload(targetState, entry))
                addUnload(targetState, entry, MoveReason::NotAccounted, "");
        }
        // Adapters are unloaded before their base model.
        for (const bool isAdapter : { true, false }) {
            for (const auto& entry : targetState.target->ledger->entries()) {
                if (!isPlanned(entry.artifact) && entry.baseModel.empty() != isAdapter && !entry.isForeign
                    && canUnload(targetState, entry))
                    addUnloadWithAdapters(targetState, entry, MoveReason::NotPlanned, "");
            }
        }
    }
}

std::vector<OrderPlanner::LoadCandidate> OrderPlanner::missingCopies()
{
    std::vector<LoadCandidate> candidates;
    for (auto& targetState : m_targetStates) {
        const auto copies = m_copies->find(targetState.target->target);
        if (copies == m_copies->end())
            continue;
        const auto planned = m_planned->find(targetState.target->target);
        for (const auto& artifact : copies->second) {
            const auto* entry = targetState.target->ledger->find(artifact);
            if (entry && entry->state == ResidencyState::Resident)
                continue;
            auto order = makeLoadOrder(artifact);
            order.target = targetState.target->target;
            order.from = leavingTargetWithCopy(artifact);
            if (!order.from.empty())
                order.reason = MoveReason::Drain;
            else if (planned == m_planned->end() || !planned->second.contains(artifact))
                order.reason = MoveReason::Demand;
            const auto reachableCopies = m_reachableCopies[artifact];
            candidates.push_back(
                { &targetState, order, reachableCopies > 0, demandOf(artifact) / std::max(1U, reachableCopies) });
        }
    }
    // Unreachable artifacts first, then planned copies, then models before adapters, then by demand.
    const auto rank = [](const LoadCandidate& row) {
        return std::make_tuple(row.isReachable, row.order.reason == MoveReason::Demand, !row.order.baseModel.empty(),
            -row.demand, row.order.artifact, row.order.target);
    };
    std::sort(candidates.begin(), candidates.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    return candidates;
}

void OrderPlanner::tryAddLoad(const LoadCandidate& candidate)
{
    auto& targetState = *candidate.targetState;
    const auto& order = candidate.order;
    auto& budget = order.baseModel.empty() ? m_budget.models : m_budget.adapters;
    if (budget == 0)
        return;
    if (!order.baseModel.empty() && !targetState.loadedArtifacts.contains(order.baseModel)
        && (!targetState.target->ledger->isReachable(order.baseModel)
            || targetState.unloadedArtifacts.contains(order.baseModel)))
        return;
    if (!freeMemoryFor(targetState, order))
        return;
    --budget;
    targetState.loadedArtifacts.insert(order.artifact);
    m_orders.push_back(order);
}

bool OrderPlanner::freeMemoryFor(TargetState& targetState, const PlacementOrder& loadOrder)
{
    const auto* existing = targetState.target->ledger->find(loadOrder.artifact);
    const uint64_t existingBytes = existing && existing->mayBeResident() ? existing->memoryBytes : 0;
    const uint64_t requiredBytes = std::max(existingBytes, loadOrder.memoryBytes) - existingBytes;
    const auto capacity = targetState.target->capacityBytes;
    const auto fits = [&](uint64_t bytes) { return requiredBytes <= capacity && bytes <= capacity - requiredBytes; };

    // Unloading a model also unloads its adapters, so each candidate frees the memory of all of them.
    std::vector<const ResidencyEntry*> unloadCandidates;
    for (const auto& entry : targetState.target->ledger->entries()) {
        if (!isDesired(targetState, entry.artifact) && canUnload(targetState, entry))
            unloadCandidates.push_back(&entry);
    }
    std::stable_sort(unloadCandidates.begin(), unloadCandidates.end(),
        [&](const auto* left, const auto* right) { return demandOf(left->artifact) < demandOf(right->artifact); });
    uint64_t reclaimableBytes = 0;
    for (const auto* entry : unloadCandidates)
        reclaimableBytes += entry->memoryBytes;
    if (!fits(targetState.usedBytes - std::min(reclaimableBytes, targetState.usedBytes)))
        return false;
    for (const auto* entry : unloadCandidates) {
        if (fits(targetState.usedBytes))
            break;
        if (!targetState.unloadedArtifacts.contains(entry->artifact) && canUnload(targetState, *entry))
            addUnloadWithAdapters(targetState, *entry, MoveReason::MakeRoom, loadOrder.artifact);
    }
    if (!fits(targetState.usedBytes))
        return false;
    targetState.usedBytes += requiredBytes;
    return true;
}

bool OrderPlanner::canUnload(const TargetState& targetState, const ResidencyEntry& entry) const
{
    if (entry.state != ResidencyState::Resident || !entry.orders.empty()
        || targetState.unloadedArtifacts.contains(entry.artifact))
        return false;
    for (const auto& adapter : targetState.target->ledger->entries()) {
        if (adapter.baseModel == entry.artifact && adapter.mayBeResident()
            && !targetState.unloadedArtifacts.contains(adapter.artifact) && !canUnload(targetState, adapter))
            return false;
    }
    if (!isPlanned(entry.artifact) || !targetState.target->ledger->isReachable(entry.artifact))
        return true;
    const auto reachableCopies = m_reachableCopies.find(entry.artifact);
    return reachableCopies != m_reachableCopies.end() && reachableCopies->second > 1;
}

void OrderPlanner::addUnloadWithAdapters(
    TargetState& targetState, const ResidencyEntry& entry, MoveReason reason, const std::string& from)
{
    for (const auto& adapter : targetState.target->ledger->entries()) {
        if (adapter.baseModel == entry.artifact && adapter.mayBeResident()
            && !targetState.unloadedArtifacts.contains(adapter.artifact))
            addUnload(targetState, adapter, reason, from);
    }
    addUnload(targetState, entry, reason, from);
}

void OrderPlanner::addUnload(
    TargetState& targetState, const ResidencyEntry& entry, MoveReason reason, const std::string& from)
{
    m_orders.push_back({ OrderKind::Unload, targetState.target->target, entry.artifact, entry.baseModel,
        entry.memoryBytes, reason, from });
    if (targetState.target->ledger->isReachable(entry.artifact))
        --m_reachableCopies[entry.artifact];
    targetState.usedBytes -= std::min(targetState.usedBytes, entry.memoryBytes);
    targetState.unloadedArtifacts.insert(entry.artifact);
}

bool OrderPlanner::isDesired(const TargetState& targetState, const std::string& artifact) const
{
    const auto copies = m_copies->find(targetState.target->target);
    return copies != m_copies->end() && copies->second.contains(artifact);
}

bool OrderPlanner::isPlanned(const std::string& artifact) const
{
    return m_input->plan->findModel(artifact) || m_input->plan->findAdapter(artifact);
}

double OrderPlanner::demandOf(const std::string& artifact) const
{
    const auto found = m_input->demand.find(artifact);
    return found == m_input->demand.end() ? 0 : found->second.peak();
}

PlacementOrder OrderPlanner::makeLoadOrder(const std::string& artifact) const
{
    PlacementOrder order;
    order.artifact = artifact;
    if (const auto* model = m_input->plan->findModel(artifact)) {
        order.memoryBytes = model->memoryBytes;
    } else if (const auto* adapter = m_input->plan->findAdapter(artifact)) {
        order.memoryBytes = adapter->memoryBytes;
        order.baseModel = adapter->model;
    }
    return order;
}

std::string OrderPlanner::leavingTargetWithCopy(const std::string& artifact) const
{
    for (const auto& target : m_input->targets) {
        if (target.isLeaving && target.ledger && target.ledger->isReachable(artifact))
            return target.target;
    }
    return "";
}

} // namespace cyclamenstair

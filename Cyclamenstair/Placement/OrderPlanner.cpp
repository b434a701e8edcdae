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
                ++m_reachable[entry.artifact];
        }
        if (target.isOrderable)
            m_slots.push_back({ &target, target.ledger->reservedBytes(), {}, {} });
    }
}

std::vector<PlacementOrder> OrderPlanner::plan()
{
    repeatUnanswered();
    unloadUnwanted();
    for (const auto& wanted : missingCopies())
        load(wanted);
    return std::move(m_orders);
}

void OrderPlanner::repeatUnanswered()
{
    std::erase_if(m_slots, [&](const Slot& slot) {
        const auto& ledger = *slot.target->ledger;
        const auto* entry = ledger.unansweredEntry();
        if (!entry)
            return false;
        const auto kind = ledger.unansweredOrder(entry->artifact)->kind;
        m_orders.push_back({ kind, slot.target->target, entry->artifact, entry->baseModel, entry->memoryBytes,
            MoveReason::Repeat, "" });
        return true;
    });
}

void OrderPlanner::unloadUnwanted()
{
    for (auto& slot : m_slots) {
        for (const auto& entry : slot.target->ledger->entries()) {
            if (entry.isForeign && canUnload(slot, entry))
                unload(slot, entry, MoveReason::NotAccounted, "");
        }
        // Adapters are unloaded before their model.
        for (const bool isAdapter : { true, false }) {
            for (const auto& entry : slot.target->ledger->entries()) {
                if (!isPlanned(entry.artifact) && entry.baseModel.empty() != isAdapter && !entry.isForeign
                    && canUnload(slot, entry))
                    unloadWithAdapters(slot, entry, MoveReason::NotPlanned, "");
            }
        }
    }
}

std::vector<OrderPlanner::WantedLoad> OrderPlanner::missingCopies()
{
    std::vector<WantedLoad> wanted;
    for (auto& slot : m_slots) {
        const auto copies = m_copies->find(slot.target->target);
        if (copies == m_copies->end())
            continue;
        const auto planned = m_planned->find(slot.target->target);
        for (const auto& artifact : copies->second) {
            const auto* entry = slot.target->ledger->find(artifact);
            if (entry && entry->state == ResidencyState::Resident)
                continue;
            auto order = loadOrder(artifact);
            order.target = slot.target->target;
            order.from = leavingHolder(artifact);
            if (!order.from.empty())
                order.reason = MoveReason::Drain;
            else if (planned == m_planned->end() || !planned->second.contains(artifact))
                order.reason = MoveReason::Demand;
            const auto reachable = m_reachable[artifact];
            wanted.push_back({ &slot, order, reachable > 0, demandOf(artifact) / std::max(1U, reachable) });
        }
    }
    // Unreachable artifacts first, then what the plan asks for, models before their adapters, then by demand.
    const auto rank = [](const WantedLoad& row) {
        return std::make_tuple(row.isReachable, row.order.reason == MoveReason::Demand, !row.order.baseModel.empty(),
            -row.demand, row.order.artifact, row.order.target);
    };
    std::sort(
        wanted.begin(), wanted.end(), [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    return wanted;
}

void OrderPlanner::load(const WantedLoad& wanted)
{
    auto& slot = *wanted.slot;
    const auto& order = wanted.order;
    auto& budget = order.baseModel.empty() ? m_budget.models : m_budget.adapters;
    if (budget == 0)
        return;
    if (!order.baseModel.empty() && !slot.loaded.contains(order.baseModel)
        && (!slot.target->ledger->isReachable(order.baseModel) || slot.unloaded.contains(order.baseModel)))
        return;
    if (!makeRoom(slot, order))
        return;
    --budget;
    slot.loaded.insert(order.artifact);
    m_orders.push_back(order);
}

bool OrderPlanner::makeRoom(Slot& slot, const PlacementOrder& load)
{
    const auto* present = slot.target->ledger->find(load.artifact);
    const uint64_t reserved = present && present->mayBeResident() ? present->memoryBytes : 0;
    const uint64_t needed = std::max(reserved, load.memoryBytes) - reserved;
    const auto capacity = slot.target->capacityBytes;
    const auto fits = [&](uint64_t used) { return needed <= capacity && used <= capacity - needed; };

    // Models go with their adapters, so that each candidate frees the memory of all of them.
    std::vector<const ResidencyEntry*> candidates;
    for (const auto& entry : slot.target->ledger->entries()) {
        if (!isWanted(slot, entry.artifact) && canUnload(slot, entry))
            candidates.push_back(&entry);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
        [&](const auto* left, const auto* right) { return demandOf(left->artifact) < demandOf(right->artifact); });
    uint64_t freed = 0;
    for (const auto* entry : candidates)
        freed += entry->memoryBytes;
    if (!fits(slot.usedBytes - std::min(freed, slot.usedBytes)))
        return false;
    for (const auto* entry : candidates) {
        if (fits(slot.usedBytes))
            break;
        if (!slot.unloaded.contains(entry->artifact) && canUnload(slot, *entry))
            unloadWithAdapters(slot, *entry, MoveReason::MakeRoom, load.artifact);
    }
    if (!fits(slot.usedBytes))
        return false;
    slot.usedBytes += needed;
    return true;
}

bool OrderPlanner::canUnload(const Slot& slot, const ResidencyEntry& entry) const
{
    if (entry.state != ResidencyState::Resident || !entry.orders.empty() || slot.unloaded.contains(entry.artifact))
        return false;
    for (const auto& adapter : slot.target->ledger->entries()) {
        if (adapter.baseModel == entry.artifact && adapter.mayBeResident() && !slot.unloaded.contains(adapter.artifact)
            && !canUnload(slot, adapter))
            return false;
    }
    if (!isPlanned(entry.artifact) || !slot.target->ledger->isReachable(entry.artifact))
        return true;
    const auto reachable = m_reachable.find(entry.artifact);
    return reachable != m_reachable.end() && reachable->second > 1;
}

void OrderPlanner::unloadWithAdapters(
    Slot& slot, const ResidencyEntry& entry, MoveReason reason, const std::string& from)
{
    for (const auto& adapter : slot.target->ledger->entries()) {
        if (adapter.baseModel == entry.artifact && adapter.mayBeResident() && !slot.unloaded.contains(adapter.artifact))
            unload(slot, adapter, reason, from);
    }
    unload(slot, entry, reason, from);
}

void OrderPlanner::unload(Slot& slot, const ResidencyEntry& entry, MoveReason reason, const std::string& from)
{
    m_orders.push_back(
        { OrderKind::Unload, slot.target->target, entry.artifact, entry.baseModel, entry.memoryBytes, reason, from });
    if (slot.target->ledger->isReachable(entry.artifact))
        --m_reachable[entry.artifact];
    slot.usedBytes -= std::min(slot.usedBytes, entry.memoryBytes);
    slot.unloaded.insert(entry.artifact);
}

bool OrderPlanner::isWanted(const Slot& slot, const std::string& artifact) const
{
    const auto copies = m_copies->find(slot.target->target);
    return copies != m_copies->end() && copies->second.contains(artifact);
}

bool OrderPlanner::isPlanned(const std::string& artifact) const
{
    return m_input->plan->findModel(artifact) || m_input->plan->findAdapter(artifact);
}

double OrderPlanner::demandOf(const std::string& artifact) const
{
    const auto found = m_input->demand.find(artifact);
    return found == m_input->demand.end() ? 0 : found->second.possible();
}

PlacementOrder OrderPlanner::loadOrder(const std::string& artifact) const
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

std::string OrderPlanner::leavingHolder(const std::string& artifact) const
{
    for (const auto& target : m_input->targets) {
        if (target.isLeaving && target.ledger && target.ledger->isReachable(artifact))
            return target.target;
    }
    return "";
}

} // namespace cyclamenstair

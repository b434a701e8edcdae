// Brittle targets in TargetRegistry: how their slots are divided among the nodes.

#include <Cyclamenstair/Fleet/TargetRegistry.h>

#include <Cyclamenstair/Core/Hash.h>

#include <algorithm>

namespace cyclamenstair {

TargetWorkloads TargetRegistry::sharedLoads(TimePoint now) const
{
    auto loads = this->loads();
    m_services.forEachShard([&](const auto& services) {
        for (const auto& [service, targets] : services) {
            size_t slotsBefore = 0;
            for (const auto& [id, target] : targets) {
                const auto share = shareOfSlots(target, slotsBefore);
                slotsBefore += std::max(1U, target.record.slots);
                const auto statement = target.brittle.statement(now, m_settings.brittle);
                if (!statement || !statement->refusalLimit)
                    continue;
                loads[id].brittleLimit = *statement->refusalLimit;
                loads[id].beyondShare = target.load.inFlight - std::min(target.load.inFlight, share);
            }
        }
    });
    return loads;
}

bool TargetRegistry::isServiceBrittle(const Targets& targets, TimePoint now) const
{
    std::optional<BrittleStatement> last;
    for (const auto& [id, target] : targets) {
        const auto statement = target.brittle.statement(now, m_settings.brittle);
        if (statement && (!last || statement->statedAt > last->statedAt))
            last = statement;
    }
    return last && last->refusalLimit;
}

bool TargetRegistry::isBrittle(const TargetState& target, bool isServiceBrittle, TimePoint now) const
{
    if (const auto statement = target.brittle.statement(now, m_settings.brittle))
        return statement->refusalLimit.has_value();
    return isServiceBrittle || totalLoad(target, now).brittleLimit > 0;
}

uint32_t TargetRegistry::shareOfSlots(const TargetState& target, size_t slotsBefore) const
{
    const size_t nodeCount = m_nodeCount;
    const auto position = (m_nodePosition + nodeCount - slotsBefore % nodeCount) % nodeCount;
    return NodeShare { nodeCount, position }.partOf(std::max(1U, target.record.slots));
}

bool TargetRegistry::hasBrittleRoom(TargetState& target, uint32_t share, TimePoint now) const
{
    const size_t nodeCount = m_nodeCount;
    const auto slots = std::max(1U, target.record.slots);
    const auto total = totalLoad(target, now);
    BrittleLoad load { slots, share, target.load.inFlight, total.inFlight, total.beyondShare };
    // Without the loads of the others, nothing can be borrowed.
    if (nodeCount > 1 && now - target.remoteLoadSetAt >= m_settings.remoteLoadLifetime)
        load.total = std::max(load.total, slots - 1);
    const auto interval = static_cast<uint64_t>(now.time_since_epoch() / m_settings.brittle.lendingInterval);
    constexpr double weightRange = 18446744073709551616.0;
    const double draw
        = static_cast<double>(stableHash(m_settings.nodeId, stableHash(target.record.id, interval))) / weightRange;
    return target.brittle.hasRoom(load, nodeCount, draw, now, m_settings.brittle);
}

} // namespace cyclamenstair

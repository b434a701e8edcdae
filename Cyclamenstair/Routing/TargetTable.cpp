#include <Cyclamenstair/Routing/TargetTable.h>

#include <algorithm>
#include <cassert>

namespace cyclamenstair {

void TargetTable::beginAttempt(const std::string& target, const AttemptWork& work)
{
    m_shards.withShard(target, [&](Loads& loads) { addWork(loads[target], work); });
}

bool TargetTable::tryBeginAttempt(const std::string& target, const AttemptWork& work, uint32_t maxLong)
{
    return m_shards.withShard(target, [&](Loads& loads) {
        auto& load = loads[target];
        if (work.workClass == WorkClass::Long && load.longInFlight >= maxLong)
            return false;
        addWork(load, work);
        return true;
    });
}

void TargetTable::endAttempt(const std::string& target, bool isSuccess, const AttemptWork& work, TimePoint now)
{
    m_shards.withShard(target, [&](Loads& loads) {
        auto& load = loads[target];
        removeWork(load, work);
        if (isSuccess) {
            ++load.succeeded;
            load.consecutiveFailures = 0;
        } else {
            ++load.failed;
            ++load.consecutiveFailures;
            load.lastFailureAt = now;
        }
    });
}

void TargetTable::cancelAttempt(const std::string& target, const AttemptWork& work)
{
    m_shards.withShard(target, [&](Loads& loads) { removeWork(loads[target], work); });
}

void TargetTable::recordLoadReport(const std::string& target, double load, TimePoint now)
{
    m_shards.withShard(target, [&](Loads& loads) {
        auto& state = loads[target];
        state.reportedByOtherNodes = std::max(0.0, load - state.inFlight);
        state.reportedAt = now;
        state.hasReport = true;
    });
}

TargetLoad TargetTable::load(const std::string& target) const
{
    return m_shards.withShard(target, [&](const Loads& loads) {
        const auto found = loads.find(target);
        return found == loads.end() ? TargetLoad() : found->second;
    });
}

void TargetTable::addWork(TargetLoad& load, const AttemptWork& work)
{
    ++load.inFlight;
    load.longInFlight += work.workClass == WorkClass::Long ? 1 : 0;
    load.tokensInFlight += work.tokens;
}

void TargetTable::removeWork(TargetLoad& load, const AttemptWork& work)
{
    assert(load.inFlight > 0);
    --load.inFlight;
    load.longInFlight -= work.workClass == WorkClass::Long ? 1 : 0;
    // Prevents rounding errors from leaving work at an idle target.
    load.tokensInFlight = load.inFlight == 0 ? 0 : std::max(0.0, load.tokensInFlight - work.tokens);
}

} // namespace cyclamenstair

#include <Cyclamenstair/Routing/StragglerDetector.h>

namespace cyclamenstair {

void StragglerDetector::observe(
    const std::string& pool, const std::string& target, SpeedKind kind, double slowness, TimePoint now)
{
    m_pools.withShard(pool, [&](Pools& pools) {
        auto& targets = pools[pool];
        auto& state = targets[target];
        state.lastSeen = now;
        state.failuresInARow = 0;
        if (state.isOnProbation) {
            judgeProbe(targets, state, kind, slowness, now);
            return;
        }
        auto& window = kind == SpeedKind::FirstToken ? state.first : state.perToken;
        window.add(slowness);
        if (window.count() >= m_settings.minSamples)
            (kind == SpeedKind::FirstToken ? state.firstMedian : state.perTokenMedian) = window.median(0);
        judge(targets, now);
    });
}

void StragglerDetector::observeWaiting(
    const std::string& pool, const std::string& target, double slowness, TimePoint now)
{
    m_pools.withShard(pool, [&](Pools& pools) {
        auto& targets = pools[pool];
        auto& state = targets[target];
        state.lastSeen = now;
        if (now - state.waitingAt > m_settings.waitingValidity || slowness > state.waiting)
            state.waiting = slowness;
        state.waitingAt = now;
        if (state.isOnProbation) {
            if (slowness > m_settings.recoveredFactor * baselineOf(targets, now).first)
                state.successfulProbes = 0;
            return;
        }
        judge(targets, now);
    });
}

void StragglerDetector::observeOvertaken(
    const std::string& pool, const std::string& target, double slowness, TimePoint now)
{
    m_pools.withShard(pool, [&](Pools& pools) {
        auto& targets = pools[pool];
        auto& state = targets[target];
        state.lastSeen = now;
        if (state.isOnProbation) {
            state.successfulProbes = 0;
            return;
        }
        state.first.add(slowness);
        if (state.first.count() >= m_settings.minSamples)
            state.firstMedian = state.first.median(0);
        judge(targets, now);
    });
}

void StragglerDetector::observeFailure(const std::string& pool, const std::string& target, TimePoint now)
{
    m_pools.withShard(pool, [&](Pools& pools) {
        auto& targets = pools[pool];
        auto& state = targets[target];
        state.lastSeen = now;
        ++state.failuresInARow;
        state.successfulProbes = 0;
        judge(targets, now);
    });
}

std::vector<TargetSpeed> StragglerDetector::speeds(
    const std::string& pool, const std::vector<RouteCandidate>& candidates, TimePoint now) const
{
    std::vector<TargetSpeed> result(candidates.size());
    m_pools.withShard(pool, [&](const Pools& pools) {
        const auto targets = pools.find(pool);
        if (targets == pools.end())
            return;
        const auto baseline = baselineOf(targets->second, now);
        for (size_t index = 0; index < candidates.size(); ++index) {
            const auto found = targets->second.find(candidates[index].target);
            if (found != targets->second.end())
                result[index] = { factorOf(found->second, baseline, now), found->second.isOnProbation };
        }
    });
    return result;
}

bool StragglerDetector::claimProbe(const std::string& pool, const std::string& target, TimePoint now)
{
    return m_pools.withShard(pool, [&](Pools& pools) {
        auto& state = pools[pool][target];
        if (!state.isOnProbation || now - state.lastProbe < state.probeInterval)
            return false;
        state.lastProbe = now;
        // Each probe costs its caller time; a success brings the short interval back.
        state.probeInterval = std::min(m_settings.maxProbeInterval, 2 * state.probeInterval);
        return true;
    });
}

bool StragglerDetector::isOnProbation(const std::string& pool, const std::string& target) const
{
    return m_pools.withShard(pool, [&](const Pools& pools) {
        const auto targets = pools.find(pool);
        if (targets == pools.end())
            return false;
        const auto state = targets->second.find(target);
        return state != targets->second.end() && state->second.isOnProbation;
    });
}

std::vector<std::string> StragglerDetector::onProbation(const std::string& pool) const
{
    return m_pools.withShard(pool, [&](const Pools& pools) {
        std::vector<std::string> names;
        const auto targets = pools.find(pool);
        if (targets == pools.end())
            return names;
        for (const auto& [name, state] : targets->second) {
            if (state.isOnProbation)
                names.push_back(name);
        }
        return names;
    });
}

StragglerDetector::Baseline StragglerDetector::baselineOf(const PoolState& pool, TimePoint now) const
{
    std::vector<double> first;
    std::vector<double> perToken;
    for (const auto& [name, state] : pool) {
        if (now - state.lastSeen > m_settings.memberValidity)
            continue;
        if (const double value = firstOf(state, now); value > 0)
            first.push_back(value);
        if (state.perTokenMedian > 0)
            perToken.push_back(state.perTokenMedian);
    }
    return { medianOf(std::move(first), 1), medianOf(std::move(perToken), 1) };
}

double StragglerDetector::firstOf(const TargetState& state, TimePoint now) const
{
    const bool isWaitingValid = state.waiting > 0 && now - state.waitingAt <= m_settings.waitingValidity;
    return std::max(state.firstMedian, isWaitingValid ? state.waiting : 0);
}

double StragglerDetector::factorOf(const TargetState& state, const Baseline& baseline, TimePoint now) const
{
    // Targets without observations count as average.
    const double first = firstOf(state, now);
    return std::max({ 1.0, first / baseline.first, state.perTokenMedian / baseline.perToken });
}

bool StragglerDetector::isSlow(const TargetState& state, const Baseline& baseline, TimePoint now) const
{
    const bool isWaitingValid = now - state.waitingAt <= m_settings.waitingValidity;
    return state.failuresInARow >= m_settings.maxFailuresInARow
        || state.firstMedian >= m_settings.slowFactor * baseline.first
        || state.perTokenMedian >= m_settings.slowFactor * baseline.perToken
        || (isWaitingValid && state.waiting >= m_settings.waitingFactor * baseline.first);
}

void StragglerDetector::judge(PoolState& pool, TimePoint now) const
{
    // Each observation shifts the median, so that all targets are judged and not only the one that answered.
    std::erase_if(pool, [&](const auto& entry) { return now - entry.second.lastSeen > m_settings.forgetAfter; });
    const auto baseline = baselineOf(pool, now);
    size_t members = 0;
    size_t onProbation = 0;
    std::vector<TargetState*> slow;
    for (auto& [name, state] : pool) {
        if (now - state.lastSeen > m_settings.memberValidity && !state.isOnProbation)
            continue;
        ++members;
        if (state.isOnProbation)
            ++onProbation;
        else if (isSlow(state, baseline, now))
            slow.push_back(&state);
    }
    // More slow targets than may be on probation mean load, which taking targets away would make worse.
    if (onProbation + slow.size() > members / 3)
        return;
    for (auto* state : slow) {
        state->isOnProbation = true;
        state->successfulProbes = 0;
        state->lastProbe = now;
        state->probeInterval = m_settings.probeInterval;
    }
}

void StragglerDetector::judgeProbe(
    PoolState& pool, TargetState& state, SpeedKind kind, double slowness, TimePoint now) const
{
    // The state's own old samples are slow; in a small pool they would raise the median that the probe must meet.
    state.first.clear();
    state.perToken.clear();
    state.firstMedian = state.perTokenMedian = state.waiting = 0;
    const auto baseline = baselineOf(pool, now);
    const double expected = kind == SpeedKind::FirstToken ? baseline.first : baseline.perToken;
    if (slowness > m_settings.recoveredFactor * expected) {
        state.successfulProbes = 0;
        return;
    }
    // One answer gives one sample of each kind; only the first token's is counted.
    if (kind != SpeedKind::FirstToken)
        return;
    state.probeInterval = m_settings.probeInterval;
    if (++state.successfulProbes >= m_settings.probesToReturn)
        state.isOnProbation = false;
}

} // namespace cyclamenstair

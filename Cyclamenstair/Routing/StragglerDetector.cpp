#include <Cyclamenstair/Routing/StragglerDetector.h>

namespace cyclamenstair {

void StragglerDetector::observe(
    const std::string& pool, const std::string& target, SpeedKind kind, double slowness, TimePoint now)
{
    m_pools.withShard(pool, [&](Pools& pools) {
        auto& targets = pools[pool];
        auto& state = targets[target];
        state.lastObservedAt = now;
        state.consecutiveFailures = 0;
        if (state.isOnProbation) {
            evaluateProbe(targets, state, kind, slowness, now);
            return;
        }
        auto& window = kind == SpeedKind::FirstToken ? state.firstTokenSamples : state.perTokenSamples;
        window.add(slowness);
        if (window.count() >= m_settings.minSamples)
            (kind == SpeedKind::FirstToken ? state.firstTokenMedian : state.perTokenMedian) = window.median(0);
        updateProbation(targets, now);
    });
}

void StragglerDetector::observePending(
    const std::string& pool, const std::string& target, double slowness, TimePoint now)
{
    m_pools.withShard(pool, [&](Pools& pools) {
        auto& targets = pools[pool];
        auto& state = targets[target];
        state.lastObservedAt = now;
        if (now - state.pendingObservedAt > m_settings.pendingSampleLifetime || slowness > state.pendingSlowness)
            state.pendingSlowness = slowness;
        state.pendingObservedAt = now;
        if (state.isOnProbation) {
            if (slowness > m_settings.recoveryFactor * computeBaseline(targets, now).firstToken)
                state.successfulProbes = 0;
            return;
        }
        updateProbation(targets, now);
    });
}

void StragglerDetector::observeCancelled(
    const std::string& pool, const std::string& target, double slowness, TimePoint now)
{
    m_pools.withShard(pool, [&](Pools& pools) {
        auto& targets = pools[pool];
        auto& state = targets[target];
        state.lastObservedAt = now;
        if (state.isOnProbation) {
            state.successfulProbes = 0;
            return;
        }
        state.firstTokenSamples.add(slowness);
        if (state.firstTokenSamples.count() >= m_settings.minSamples)
            state.firstTokenMedian = state.firstTokenSamples.median(0);
        updateProbation(targets, now);
    });
}

void StragglerDetector::observeFailure(const std::string& pool, const std::string& target, TimePoint now)
{
    m_pools.withShard(pool, [&](Pools& pools) {
        auto& targets = pools[pool];
        auto& state = targets[target];
        state.lastObservedAt = now;
        ++state.consecutiveFailures;
        state.successfulProbes = 0;
        updateProbation(targets, now);
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
        const auto baseline = computeBaseline(targets->second, now);
        for (size_t index = 0; index < candidates.size(); ++index) {
            const auto found = targets->second.find(candidates[index].target);
            if (found != targets->second.end())
                result[index] = { slownessFactor(found->second, baseline, now), found->second.isOnProbation };
        }
    });
    return result;
}

bool StragglerDetector::tryStartProbe(const std::string& pool, const std::string& target, TimePoint now)
{
    return m_pools.withShard(pool, [&](Pools& pools) {
        auto& state = pools[pool][target];
        if (!state.isOnProbation || now - state.lastProbeAt < state.probeInterval)
            return false;
        state.lastProbeAt = now;
        // Each probe delays its caller. A successful probe resets the interval.
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

std::vector<std::string> StragglerDetector::targetsOnProbation(const std::string& pool) const
{
    return m_pools.withShard(pool, [&](const Pools& pools) {
        std::vector<std::string> targetIds;
        const auto targets = pools.find(pool);
        if (targets == pools.end())
            return targetIds;
        for (const auto& [name, state] : targets->second) {
            if (state.isOnProbation)
                targetIds.push_back(name);
        }
        return targetIds;
    });
}

StragglerDetector::Baseline StragglerDetector::computeBaseline(const PoolState& pool, TimePoint now) const
{
    std::vector<double> firstTokenValues;
    std::vector<double> perTokenValues;
    for (const auto& [name, state] : pool) {
        if (now - state.lastObservedAt > m_settings.activePeriod)
            continue;
        if (const double value = firstTokenSlowness(state, now); value > 0)
            firstTokenValues.push_back(value);
        if (state.perTokenMedian > 0)
            perTokenValues.push_back(state.perTokenMedian);
    }
    return { medianOf(std::move(firstTokenValues), 1), medianOf(std::move(perTokenValues), 1) };
}

double StragglerDetector::firstTokenSlowness(const TargetState& state, TimePoint now) const
{
    const bool isPendingSampleFresh
        = state.pendingSlowness > 0 && now - state.pendingObservedAt <= m_settings.pendingSampleLifetime;
    return std::max(state.firstTokenMedian, isPendingSampleFresh ? state.pendingSlowness : 0);
}

double StragglerDetector::slownessFactor(const TargetState& state, const Baseline& baseline, TimePoint now) const
{
    // Targets without observations have the median speed.
    const double firstToken = firstTokenSlowness(state, now);
    return std::max({ 1.0, firstToken / baseline.firstToken, state.perTokenMedian / baseline.perToken });
}

bool StragglerDetector::isSlow(const TargetState& state, const Baseline& baseline, TimePoint now) const
{
    const bool isPendingSampleFresh = now - state.pendingObservedAt <= m_settings.pendingSampleLifetime;
    return state.consecutiveFailures >= m_settings.maxConsecutiveFailures
        || state.firstTokenMedian >= m_settings.slowFactor * baseline.firstToken
        || state.perTokenMedian >= m_settings.slowFactor * baseline.perToken
        || (isPendingSampleFresh && state.pendingSlowness >= m_settings.pendingFactor * baseline.firstToken);
}

void StragglerDetector::updateProbation(PoolState& pool, TimePoint now) const
{
    // Each observation shifts the median, so all targets of the pool are re-evaluated.
    std::erase_if(
        pool, [&](const auto& entry) { return now - entry.second.lastObservedAt > m_settings.idleTargetRetention; });
    const auto baseline = computeBaseline(pool, now);
    size_t activeCount = 0;
    size_t probationCount = 0;
    std::vector<TargetState*> slow;
    for (auto& [name, state] : pool) {
        if (now - state.lastObservedAt > m_settings.activePeriod && !state.isOnProbation)
            continue;
        ++activeCount;
        if (state.isOnProbation)
            ++probationCount;
        else if (isSlow(state, baseline, now))
            slow.push_back(&state);
    }
    // If more than a third of the pool is slow, the cause is overload, and removing targets would make it worse.
    if (probationCount + slow.size() > activeCount / 3)
        return;
    for (auto* state : slow) {
        state->isOnProbation = true;
        state->successfulProbes = 0;
        state->lastProbeAt = now;
        state->probeInterval = m_settings.probeInterval;
    }
}

void StragglerDetector::evaluateProbe(
    PoolState& pool, TargetState& state, SpeedKind kind, double slowness, TimePoint now) const
{
    // Drops the target's own slow samples: in a small pool they would raise the median that the probe is compared with.
    state.firstTokenSamples.clear();
    state.perTokenSamples.clear();
    state.firstTokenMedian = state.perTokenMedian = state.pendingSlowness = 0;
    const auto baseline = computeBaseline(pool, now);
    const double expected = kind == SpeedKind::FirstToken ? baseline.firstToken : baseline.perToken;
    if (slowness > m_settings.recoveryFactor * expected) {
        state.successfulProbes = 0;
        return;
    }
    // A response gives one sample of each kind. Only the first-token sample counts as a probe result.
    if (kind != SpeedKind::FirstToken)
        return;
    state.probeInterval = m_settings.probeInterval;
    if (++state.successfulProbes >= m_settings.probesToRecover)
        state.isOnProbation = false;
}

} // namespace cyclamenstair

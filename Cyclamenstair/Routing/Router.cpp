#include <Cyclamenstair/Routing/Router.h>

#include <Cyclamenstair/Core/Hash.h>

#include <cmath>
#include <limits>

namespace cyclamenstair {

std::optional<size_t> Router::pick(const Candidates& candidates, const RouteQuery& query, Random& random)
{
    if (candidates.empty())
        return std::nullopt;
    return std::visit([&](const auto& policy) { return pickWith(policy, candidates, query, random); }, m_policy);
}

size_t Router::pickWith(const RoundRobinPolicy&, const Candidates& candidates, const RouteQuery&, Random&)
{
    return m_nextIndex++ % candidates.size();
}

size_t Router::pickWith(const LeastInFlightPolicy&, const Candidates& candidates, const RouteQuery&, Random& random)
{
    // Starts at a random candidate, so that ties are broken at random.
    const size_t start = randomIndex(random, candidates.size());
    size_t best = start;
    uint32_t minInFlight = std::numeric_limits<uint32_t>::max();
    for (size_t offset = 0; offset < candidates.size(); ++offset) {
        const size_t index = (start + offset) % candidates.size();
        const auto inFlight = m_targets->load(candidates[index].target).inFlight;
        if (inFlight < minInFlight) {
            minInFlight = inFlight;
            best = index;
        }
    }
    return best;
}

size_t Router::pickWith(
    const WeightedPolicy& policy, const Candidates& candidates, const RouteQuery& query, Random& random)
{
    // A target on probation gets a request if a probe is due or if all candidates are on probation.
    const auto speeds = m_detector->speeds(query.pool, candidates, query.now);
    std::vector<size_t> eligible;
    for (size_t index = 0; index < candidates.size(); ++index) {
        if (!speeds[index].isOnProbation)
            eligible.push_back(index);
        else if (query.mayProbe && candidates.size() > 1
            && m_detector->tryStartProbe(query.pool, candidates[index].target, query.now))
            return index;
    }
    if (eligible.empty()) {
        for (size_t index = 0; index < candidates.size(); ++index)
            eligible.push_back(index);
    }

    // The cost is the expected work, weighted by slowness, failure domain and recent failures.
    std::vector<double> costs(candidates.size(), 0);
    for (const auto index : eligible) {
        const auto load = m_targets->load(candidates[index].target);
        double cost = expectedWork(policy, load, query) * speeds[index].factor;
        if (candidates[index].failureDomain == query.failureDomain)
            cost *= policy.sameDomainFactor;
        if (load.consecutiveFailures > 0 && query.now - load.lastFailureAt < policy.failurePenaltyDuration)
            cost *= std::pow(policy.failurePenaltyFactor, std::min<uint32_t>(load.consecutiveFailures, 3));
        costs[index] = cost;
    }
    if (query.prefixHash && m_prefixTable.recordAndCheckRepeat(*query.prefixHash, query.now)) {
        if (const auto target = pickByAffinity(policy, candidates, eligible, costs, *query.prefixHash))
            return *target;
    }

    // Picks the better of two random choices, so that nodes with the same outdated load report do not all pick the same
    // target.
    if (eligible.size() == 1)
        return eligible.front();
    const size_t first = randomIndex(random, eligible.size());
    size_t second = randomIndex(random, eligible.size() - 1);
    second += second >= first ? 1 : 0;
    return costs[eligible[first]] <= costs[eligible[second]] ? eligible[first] : eligible[second];
}

double Router::expectedWork(const WeightedPolicy& policy, const TargetLoad& load, const RouteQuery& query) const
{
    double work = policy.fixedTokensPerAttempt * (load.inFlight + 1) + load.tokensInFlight + query.work.tokens;
    if (load.hasReport) {
        const double ageInHalfLives = toSeconds(query.now - load.reportedAt) / toSeconds(policy.reportHalfLife);
        work += load.reportedByOtherNodes * policy.tokensPerReportedRequest * std::exp2(-std::max(0.0, ageInHalfLives));
    }
    return work;
}

std::optional<size_t> Router::pickByAffinity(const WeightedPolicy& policy, const Candidates& candidates,
    const std::vector<size_t>& eligible, const std::vector<double>& costs, uint64_t prefixHash) const
{
    const auto key = std::to_string(prefixHash);
    size_t best = eligible.front();
    uint64_t highestWeight = 0;
    double totalCost = 0;
    for (const auto index : eligible) {
        totalCost += costs[index];
        const auto weight = rendezvousWeight(key, candidates[index].target);
        if (weight >= highestWeight) {
            highestWeight = weight;
            best = index;
        }
    }
    if (costs[best] > policy.affinityLoadBound * totalCost / static_cast<double>(eligible.size()))
        return std::nullopt;
    return best;
}

} // namespace cyclamenstair

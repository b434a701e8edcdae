#include <Cyclamenstair/Routing/Router.h>

#include <Cyclamenstair/Core/Hash.h>

#include <cmath>
#include <limits>

namespace cyclamenstair {

std::optional<size_t> Router::pick(const Candidates& candidates, const RouteQuery& query, Random& random)
{
    if (candidates.empty())
        return std::nullopt;
    return std::visit([&](const auto& policy) { return pickBy(policy, candidates, query, random); }, m_policy);
}

size_t Router::pickBy(const RoundRobinPolicy&, const Candidates& candidates, const RouteQuery&, Random&)
{
    return m_turn++ % candidates.size();
}

size_t Router::pickBy(const LeastInFlightPolicy&, const Candidates& candidates, const RouteQuery&, Random& random)
{
    // Starting at a random candidate breaks ties at random.
    const size_t start = randomIndex(random, candidates.size());
    size_t best = start;
    uint32_t least = std::numeric_limits<uint32_t>::max();
    for (size_t offset = 0; offset < candidates.size(); ++offset) {
        const size_t index = (start + offset) % candidates.size();
        const auto inFlight = m_targets->load(candidates[index].target).inFlight;
        if (inFlight < least) {
            least = inFlight;
            best = index;
        }
    }
    return best;
}

size_t Router::pickBy(
    const WeightedPolicy& policy, const Candidates& candidates, const RouteQuery& query, Random& random)
{
    // Targets on probation get a probe when one is due, and else only the requests that no other target can take.
    const auto speeds = m_detector->speeds(query.pool, candidates, query.now);
    std::vector<size_t> usable;
    for (size_t index = 0; index < candidates.size(); ++index) {
        if (!speeds[index].isOnProbation)
            usable.push_back(index);
        else if (query.mayProbe && candidates.size() > 1
            && m_detector->claimProbe(query.pool, candidates[index].target, query.now))
            return index;
    }
    if (usable.empty()) {
        for (size_t index = 0; index < candidates.size(); ++index)
            usable.push_back(index);
    }

    // Expected work, made dearer by slowness and late failures.
    std::vector<double> costs(candidates.size(), 0);
    for (const auto index : usable) {
        const auto load = m_targets->load(candidates[index].target);
        double cost = workAt(policy, load, query) * speeds[index].factor;
        if (candidates[index].failureDomain == query.failureDomain)
            cost *= policy.sameDomainFactor;
        if (load.failuresInARow > 0 && query.now - load.lastFailure < policy.failurePenaltyTime)
            cost *= std::pow(policy.failurePenalty, std::min<uint32_t>(load.failuresInARow, 3));
        costs[index] = cost;
    }
    if (query.prefixHash && m_prefixes.see(*query.prefixHash, query.now)) {
        if (const auto target = affine(policy, candidates, usable, costs, *query.prefixHash))
            return *target;
    }

    // The better of two random choices: nodes that saw the same late report do not all take the same target.
    if (usable.size() == 1)
        return usable.front();
    const size_t first = randomIndex(random, usable.size());
    size_t second = randomIndex(random, usable.size() - 1);
    second += second >= first ? 1 : 0;
    return costs[usable[first]] <= costs[usable[second]] ? usable[first] : usable[second];
}

double Router::workAt(const WeightedPolicy& policy, const TargetLoad& load, const RouteQuery& query) const
{
    double work = policy.baseTokens * (load.inFlight + 1) + load.tokensInFlight + query.work.tokens;
    if (load.hasReport) {
        const double halfLives = toSeconds(query.now - load.reportedAt) / toSeconds(policy.reportHalfLife);
        work += load.reportedByOthers * policy.tokensPerReportedRequest * std::exp2(-std::max(0.0, halfLives));
    }
    return work;
}

std::optional<size_t> Router::affine(const WeightedPolicy& policy, const Candidates& candidates,
    const std::vector<size_t>& usable, const std::vector<double>& costs, uint64_t prefixHash) const
{
    const auto key = std::to_string(prefixHash);
    size_t best = usable.front();
    uint64_t highest = 0;
    double sum = 0;
    for (const auto index : usable) {
        sum += costs[index];
        const auto weight = rendezvousWeight(key, candidates[index].target);
        if (weight >= highest) {
            highest = weight;
            best = index;
        }
    }
    if (costs[best] > policy.affinityLoadBound * sum / static_cast<double>(usable.size()))
        return std::nullopt;
    return best;
}

} // namespace cyclamenstair

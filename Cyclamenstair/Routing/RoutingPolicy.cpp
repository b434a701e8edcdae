#include <Cyclamenstair/Routing/RoutingPolicy.h>

#include <limits>

namespace cyclamenstair {

std::optional<size_t> Router::pick(const std::vector<RouteCandidate>& candidates, Random& random)
{
    if (candidates.empty())
        return std::nullopt;
    return std::visit([&](const auto& policy) { return pickBy(policy, candidates, random); }, m_policy);
}

size_t Router::pickBy(const RoundRobinPolicy&, const std::vector<RouteCandidate>& candidates, Random&)
{
    return m_turn++ % candidates.size();
}

size_t Router::pickBy(const LeastInFlightPolicy&, const std::vector<RouteCandidate>& candidates, Random& random)
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

} // namespace cyclamenstair

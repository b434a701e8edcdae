#include <Cyclamenstair/RequestFlow/RequestInfo.h>

#include <algorithm>

namespace cyclamenstair {

uint32_t RequestInfo::urgency() const
{
    constexpr uint32_t lowestRank = 9;
    constexpr uint32_t routeRanks = 3;
    // A caller that resumes a stream has waited for its first part already, and only some targets can go on with it.
    const uint64_t routeRank = route.priority - (resumedRequest && route.priority > 0 ? 1 : 0);
    if (!teamPriority)
        return static_cast<uint32_t>(std::min<uint64_t>(routeRank, lowestRank));
    const auto rank = uint64_t { *teamPriority } * routeRanks + std::min<uint64_t>(routeRank, routeRanks - 1);
    return static_cast<uint32_t>(std::min<uint64_t>(rank, lowestRank));
}

TimePoint RequestInfo::deadline() const
{
    constexpr Duration defaultTimeout = std::chrono::minutes(10);
    auto limit = callerTimeout;
    if (route.timeout > Duration::zero())
        limit = std::min(limit.value_or(route.timeout), route.timeout);
    return receivedAt + limit.value_or(defaultTimeout);
}

} // namespace cyclamenstair

#include <Cyclamenstair/RequestFlow/RequestFacts.h>

#include <algorithm>

namespace cyclamenstair {

TimePoint RequestFacts::deadline() const
{
    constexpr Duration unboundedRequest = std::chrono::minutes(10);
    auto limit = callerPatience;
    if (route.timeout > Duration::zero())
        limit = std::min(limit.value_or(route.timeout), route.timeout);
    return receivedAt + limit.value_or(unboundedRequest);
}

} // namespace cyclamenstair

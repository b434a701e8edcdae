#include <Cyclamenstair/RequestFlow/RequestInfo.h>

#include <algorithm>

namespace cyclamenstair {

TimePoint RequestInfo::deadline() const
{
    constexpr Duration defaultTimeout = std::chrono::minutes(10);
    auto limit = callerTimeout;
    if (route.timeout > Duration::zero())
        limit = std::min(limit.value_or(route.timeout), route.timeout);
    return receivedAt + limit.value_or(defaultTimeout);
}

} // namespace cyclamenstair

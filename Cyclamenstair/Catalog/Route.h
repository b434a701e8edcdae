#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Time.h>

#include <string>
#include <vector>

namespace cyclamenstair {

/// Whether the requests of a route may run more than once.
enum class RetryPolicy : uint8_t {
    Safe, ///< Idempotent; may run more than once.
    Once, ///< Must run at most once.
    Stream, ///< Responds with an event stream; must run at most once unless the route is resumable.
};

template <> struct EnumNames<RetryPolicy> {
    static constexpr auto table = std::to_array<EnumName<RetryPolicy>>({
        { RetryPolicy::Safe, "safe" },
        { RetryPolicy::Once, "once" },
        { RetryPolicy::Stream, "stream" },
    });
};

/// Service that receives a share of a route's requests.
struct RouteShare {
    std::string service;
    double weight { 1 }; ///< Relative to the other shares of the route.
};

/// Route from a host and path prefix to services.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Starts and ends with a slash.
    RetryPolicy retryPolicy { RetryPolicy::Once };
    std::vector<RouteShare> shares;
    Duration timeout {}; ///< Maximum time until the response is complete; zero for no limit.
    Duration targetLatency {}; ///< Time within which a response has its full value.
    Duration maxEventGap {}; ///< Maximum time between events of a stream that is on time.
    uint32_t maxAttempts { 1 }; ///< Maximum number of targets to which one request is sent.
    uint32_t priority { 0 }; ///< 0 is the highest priority.
    bool isPublic { false }; ///< Requests need no key.
    bool isResumable { false }; ///< An interrupted stream may resume at another target after its last event.

    /// Returns whether a request that may have run may be sent again.
    bool isRetryable() const
    {
        return retryPolicy == RetryPolicy::Safe || (retryPolicy == RetryPolicy::Stream && isResumable);
    }
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Time.h>

#include <string>
#include <vector>

namespace cyclamenstair {

/// How often the requests of a route may run.
enum class RepeatRule : uint8_t {
    Safe, ///< May run more than once.
    Once, ///< Runs at most once.
    Stream, ///< Stream of events; runs at most once unless the route is resumable.
};

template <> struct EnumNames<RepeatRule> {
    static constexpr auto table = std::to_array<EnumName<RepeatRule>>({
        { RepeatRule::Safe, "safe" },
        { RepeatRule::Once, "once" },
        { RepeatRule::Stream, "stream" },
    });
};

/// Service that takes a share of a route's requests.
struct RouteShare {
    std::string service;
    double weight { 1 };
};

/// Route from a host and path prefix to services.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RepeatRule repeatRule { RepeatRule::Once };
    std::vector<RouteShare> shares;
    Duration timeout {}; ///< Longest time until the final answer; zero for none.
    Duration targetLatency {}; ///< Time within which an answer has its full value.
    Duration gapTarget {}; ///< Longest pause between events of a stream that is on time.
    uint32_t maxAttempts { 1 }; ///< Targets to which one request may be sent.
    uint32_t priority { 0 }; ///< 0 is the most important.
    bool isResumable { false }; ///< A stream may go on at another target after its last event.

    /// Returns whether a request may be sent again after it may have run.
    bool mayRepeat() const
    {
        return repeatRule == RepeatRule::Safe || (repeatRule == RepeatRule::Stream && isResumable);
    }
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Catalog/Route.h>
#include <Cyclamenstair/Quarantine/PromptParts.h>

#include <optional>

namespace cyclamenstair {

/// Properties of a request on which routing decisions depend.
struct RequestInfo {
    std::string id; ///< Request id set by the caller; a retry by the caller has a new one.
    Route route;
    std::string service; ///< Selected according to the route's shares.
    std::string model; ///< Empty for plain services.
    std::string adapter; ///< Empty for the model itself.
    Duration modelLoadTime { 0 }; ///< Time to load the model from the weight store; 0 for plain services.
    uint32_t promptTokens { 0 }; ///< Token count stated by the caller; 0 if not stated.
    PromptParts promptParts;
    /// Set for a stream that the caller resumes: id of the request that got its first event; empty if not stated.
    std::optional<std::string> resumedRequest {};
    bool isRelayed { false }; ///< Another node has passed the request on to this one.
    /// For a relayed stream that goes on: version of the targets' software that began it.
    std::optional<std::string> requiredVersion {};
    TimePoint receivedAt;
    /// Name of the caller's team, empty for callers without a key. No value if the catalog has no teams.
    std::optional<std::string> team;
    std::optional<uint32_t> teamPriority; ///< Takes precedence over the priority of the route; 0 is the highest.
    double allotmentCost { 0 }; ///< Units of the team's allotment that the request has consumed.
    std::optional<Duration> callerTimeout; ///< Time that the caller waits for a response, starting at receivedAt.

    /// Returns the scheduling rank at targets, from 0 (first) to 9. Requests of teams with the same priority are ranked
    /// by their route. A stream that its caller resumes ranks before the others of its route, unless they are first.
    uint32_t urgency() const;

    /// Returns the time by which the response must be complete.
    TimePoint deadline() const;
};

} // namespace cyclamenstair

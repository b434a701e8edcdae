#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Fleet/TargetRegistry.h>

namespace cyclamenstair {

/// Why the node itself answers a request.
enum class OwnAnswer : uint8_t {
    NotRun, ///< The request did not run and never will.
    Failed, ///< The target failed; the request may have run.
    TimedOut, ///< The time is over; the request may have run.
};

template <> struct EnumNames<OwnAnswer> {
    static constexpr auto table = std::to_array<EnumName<OwnAnswer>>({
        { OwnAnswer::NotRun, "not_run" },
        { OwnAnswer::Failed, "failed" },
        { OwnAnswer::TimedOut, "timed_out" },
    });
};

/// Sends the request to a target.
struct StartAttempt {
    uint32_t attempt { 0 };
    AcquiredTarget target;
    Duration timeLeft {}; ///< Time after which the target's answer is of no use.
    std::optional<std::string> resumeAfter; ///< Id of the last event that the caller has; the stream goes on after it.
    uint32_t urgency { 0 }; ///< Rank inside the target, 0 first.
};

/// Closes the connection of the attempt, which ends the run at its target.
struct CancelAttempt {
    uint32_t attempt { 0 };
};

/// Sends the head of the attempt's answer to the caller.
struct ForwardHead {
    uint32_t attempt { 0 };
    std::optional<uint64_t> bodyBytes; ///< Length of the body, if it is known; else it is sent in chunks.
};

struct ForwardData {
    std::string data;
};

/// The answer to the caller is complete.
struct FinishAnswer { };

/// Closes the caller's connection, so that it sees that the answer is not complete.
struct BreakAnswer { };

/// Answers the request with a status of the node's own.
struct AnswerByNode {
    OwnAnswer answer { OwnAnswer::NotRun };
    std::string reason; ///< For the log.
    std::optional<Duration> retryAfter;
};

using RequestAction
    = std::variant<StartAttempt, CancelAttempt, ForwardHead, ForwardData, FinishAnswer, BreakAnswer, AnswerByNode>;

} // namespace cyclamenstair

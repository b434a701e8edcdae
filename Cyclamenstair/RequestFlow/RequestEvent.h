#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cyclamenstair {

/// Parts of a response head on which routing decisions depend.
struct ResponseInfo {
    uint32_t status { 0 };
    bool matchesRequestId { false }; ///< The response carries this request's id.
    bool hasReceipt { false }; ///< The target confirms that it generated the response.
    bool isNotRun { false }; ///< The target states that it did not run the request.
    bool isMisdirected { false }; ///< The address belongs to another instance, or the model is absent.
    bool isLeaving { false }; ///< The target states that it is about to leave.
    /// Refusals for want of room in a second that the target survives, if it states that it is brittle.
    std::optional<uint32_t> brittleLimit {};
    std::optional<Duration> pause {}; ///< Time for which the target asks this node to send it nothing.
    /// Version of the target's software, as stated by the node through which the request was relayed.
    std::string softwareVersion {};

    bool isSuccess() const { return status >= 200 && status < 300; }
    bool isFailure() const { return status >= 500; }
};

/// The head of the response has arrived.
struct ResponseStarted {
    uint32_t attempt { 0 };
    ResponseInfo head;
};

/// A part of the response body has arrived.
struct ResponseContinued {
    uint32_t attempt { 0 };
    std::string data;
};

/// The response is complete.
struct ResponseCompleted {
    uint32_t attempt { 0 };
    bool isFramed { true }; ///< The response states where its body ends, instead of ending with the connection.
};

/// The connection failed before the response was complete.
struct AttemptDisconnected {
    uint32_t attempt { 0 };
    bool wasSent { false }; ///< Some bytes of the request were written, so it may have run.
    bool isClosedByTarget { false }; ///< The target closed or reset the connection.
};

/// How a node ends a request that another one has relayed through it, without the answer of a target.
enum class RelayRefusalKind : uint8_t {
    NotAccepted, ///< The request was sent to no target; another node may accept it.
    NotRun, ///< The request has not run and never will.
    Failed, ///< The request may have run.
    TimedOut, ///< The deadline passed; the request may have run.
};

template <> struct EnumNames<RelayRefusalKind> {
    static constexpr auto table = std::to_array<EnumName<RelayRefusalKind>>({
        { RelayRefusalKind::NotAccepted, "not_accepted" },
        { RelayRefusalKind::NotRun, "not_run" },
        { RelayRefusalKind::Failed, "failed" },
        { RelayRefusalKind::TimedOut, "timed_out" },
    });
};

struct RelayRefusal {
    RelayRefusalKind kind { RelayRefusalKind::Failed };
    std::string reason; ///< Logged and used as a metric label.
    std::optional<Duration> retryAfter {};

    bool operator==(const RelayRefusal&) const = default;
};

/// The node through which the request was relayed has ended it.
struct RelayRefused {
    uint32_t attempt { 0 };
    std::string peer; ///< Id of that node.
    RelayRefusal refusal;
};

/// The caller closed its connection.
struct CallerDisconnected { };

/// The caller reads more slowly than the target sends, so nothing more is read from the target.
struct ForwardingPaused { };

/// The caller has read what was queued for it.
struct ForwardingResumed { };

/// The process is about to exit.
struct NodeStopping { };

/// The time returned by RequestMachine::nextTimerAt() has been reached.
struct TimerFired { };

using RequestEvent = std::variant<ResponseStarted, ResponseContinued, ResponseCompleted, AttemptDisconnected,
    RelayRefused, CallerDisconnected, ForwardingPaused, ForwardingResumed, NodeStopping, TimerFired>;

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Core/Priority.h>
#include <Cyclamenstair/Core/Time.h>

#include <map>
#include <string>

namespace cyclamenstair {

/// Outcome of a request as reported to the caller.
enum class RequestOutcome : uint8_t {
    Complete, ///< The complete response was delivered.
    NotRun, ///< The request did not run on any target.
    Unknown, ///< The request may have run and is not safe to retry.
    Broken, ///< Repeatable work got no complete response before the time limit; the connection is closed without one.
};

template <> struct EnumNames<RequestOutcome> {
    static constexpr auto table = std::to_array<EnumName<RequestOutcome>>({
        { RequestOutcome::Complete, "complete" },
        { RequestOutcome::NotRun, "not_run" },
        { RequestOutcome::Unknown, "unknown" },
        { RequestOutcome::Broken, "broken" },
    });
};

/// A caller's request after authentication and parsing.
struct Request {
    std::string id;
    std::string caller;
    std::string artifact; ///< Name of the model, adapter or service.
    std::string method { "POST" };
    std::string path; ///< Path of the HTTP request to the target.
    std::string body;
    std::string contentType;
    std::string idempotencyKey;
    Priority priority { Priority::Normal };
    WorkClass workClass { WorkClass::Short };
    TimePoint arrival;
    Duration window { 0 }; ///< Response window, measured from the arrival.
    bool isRepeatable { true }; ///< Safe to send to a target more than once.
    bool isStream { false };
};

/// Failure of a request that got no complete response from a target.
struct RequestFailure {
    RequestOutcome outcome { RequestOutcome::NotRun };
    Error error;
    Duration retryAfter { 0 }; ///< Time after which a retry may succeed; zero if unknown.
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Core/Priority.h>
#include <Cyclamenstair/Core/Time.h>

#include <map>
#include <string>

namespace cyclamenstair {

/// What a caller is told about a request.
enum class RequestOutcome : uint8_t {
    Complete, ///< The whole answer was delivered.
    NotRun, ///< The request certainly did not run.
    Unknown, ///< The request may have run and may not be repeated.
    Broken, ///< Repeatable work got no answer before the limit; the connection ends without one.
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
    std::string artifact; ///< Model, adapter or service.
    std::string method { "POST" };
    std::string path; ///< Path at the target.
    std::string body;
    std::string contentType;
    std::string idempotencyKey;
    Priority priority { Priority::Normal };
    WorkClass workClass { WorkClass::Short };
    TimePoint arrival;
    Duration window { 0 };
    bool isRepeatable { true };
    bool isStream { false };
};

/// A request that got no answer from a target.
struct RequestFailure {
    RequestOutcome outcome { RequestOutcome::NotRun };
    Error error;
    Duration retryAfter { 0 }; ///< When a repeat makes sense; zero for no statement.
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <string>
#include <variant>

namespace cyclamenstair {

/// The status line and the headers of the response have arrived.
struct AttemptHead {
    int status { 0 };
    std::string contentType;
    bool isNotRun { false }; ///< The target rejected the request without running it.
    double reportedLoad { -1 }; ///< Load reported in the response; negative if the target reports none.
};

/// The next bytes of the response body.
struct AttemptData {
    std::string bytes;
};

/// The response body is complete according to HTTP framing.
struct AttemptEnd { };

/// The attempt failed.
struct AttemptFailed {
    bool mayHaveRun { false }; ///< False only if certainly no byte of the request reached the target.
    std::string message;
};

/// No event arrived before the deadline; the attempt is still running.
struct AttemptPending { };

using AttemptEvent = std::variant<AttemptHead, AttemptData, AttemptEnd, AttemptFailed, AttemptPending>;

} // namespace cyclamenstair

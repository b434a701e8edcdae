#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <string>
#include <variant>

namespace cyclamenstair {

/// Status and headers of the answer have arrived.
struct AttemptHead {
    int status { 0 };
    std::string contentType;
    bool isNotRun { false }; ///< The target refused the request before it started.
    double reportedLoad { -1 }; ///< Load that the target reports with the answer; negative if it reports none.
};

/// The next bytes of the body.
struct AttemptData {
    std::string bytes;
};

/// The body is complete by the rules of HTTP.
struct AttemptEnd { };

/// The attempt failed.
struct AttemptFailed {
    bool mayHaveRun { false }; ///< False only if no byte of the request reached the target.
    std::string message;
};

/// Nothing happened before the deadline; the attempt goes on.
struct AttemptPending { };

using AttemptEvent = std::variant<AttemptHead, AttemptData, AttemptEnd, AttemptFailed, AttemptPending>;

} // namespace cyclamenstair

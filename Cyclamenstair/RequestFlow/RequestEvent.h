#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cyclamenstair {

/// Head of a target's answer, as far as decisions need it.
struct AnswerFacts {
    uint32_t status { 0 };
    bool isOwn { false }; ///< The answer names this request's id.
    bool hasReceipt { false }; ///< The target states that the answer is its own work.
    bool isNotRun { false }; ///< The target states that it did not run the request.
    bool isOtherInstance { false }; ///< The address belongs to another instance, or the model is absent.
};

struct AnswerBegan {
    uint32_t attempt { 0 };
    AnswerFacts head;
};

struct AnswerContinued {
    uint32_t attempt { 0 };
    std::string data;
};

/// The answer is complete.
struct AnswerEnded {
    uint32_t attempt { 0 };
};

/// The connection failed before the answer was complete.
struct AttemptLost {
    uint32_t attempt { 0 };
    bool wasSent { false }; ///< Bytes of the request were written, so it may have run.
};

/// The caller closed its connection.
struct CallerLeft { };

/// The time named by RequestMachine::wakeAt() has come.
struct TimerFired { };

using RequestEvent = std::variant<AnswerBegan, AnswerContinued, AnswerEnded, AttemptLost, CallerLeft, TimerFired>;

} // namespace cyclamenstair

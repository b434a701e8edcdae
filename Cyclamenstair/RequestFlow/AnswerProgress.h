#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>

namespace cyclamenstair {

/// How far a target has come with a request's answer.
enum class AnswerProgress : uint8_t {
    NotStarted, ///< No part of the answer has arrived.
    Started, ///< The answer has begun; the target may still fail because of it.
    Continued, ///< The answer went on after its beginning, so the request does not make targets fail.
};

template <> struct EnumNames<AnswerProgress> {
    static constexpr auto table = std::to_array<EnumName<AnswerProgress>>({
        { AnswerProgress::NotStarted, "not_started" },
        { AnswerProgress::Started, "started" },
        { AnswerProgress::Continued, "continued" },
    });
};

} // namespace cyclamenstair

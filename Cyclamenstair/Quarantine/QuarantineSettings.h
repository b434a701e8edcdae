#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <cstddef>
#include <cstdint>

namespace cyclamenstair {

/// When a prompt part is held responsible for target failures, and for how long.
struct QuarantineSettings {
    /// Failures of targets, one after the other, by which requests with the part lost their unfinished answer.
    uint32_t minFailures { 3 };
    /// Different requests that were lost in them, for a part that requests share. A single request that is repeated
    /// does not show which of its shared parts is responsible; only its last part, which identifies it, is quarantined
    /// then.
    uint32_t minRequests { 2 };
    /// Answers without the part that continued since the first failure. If no request is answered, the targets fail for
    /// another reason.
    uint32_t minOtherAnswers { 3 };
    /// Failures within this time count as one: targets that fail together have a common cause.
    Duration failureSpan { milliseconds(200) };
    /// Time during which a failure counts.
    Duration evidenceLifetime { std::chrono::minutes(10) };
    /// Time during which requests with the part are refused. Doubles with each further time, up to maxDuration.
    Duration duration { std::chrono::minutes(10) };
    Duration maxDuration { std::chrono::hours(2) };
    /// Bounds on what is kept, since callers choose the ids of parts.
    size_t maxLostAnswersPerPart { 16 };
    size_t maxPartsPerShard { 16 };
    size_t maxContinuedPartsPerShard { 512 };
};

} // namespace cyclamenstair

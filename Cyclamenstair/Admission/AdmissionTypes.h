#pragma once

#include <Cyclamenstair/Core/Priority.h>
#include <Cyclamenstair/Core/Time.h>

#include <string>
#include <variant>
#include <vector>

namespace cyclamenstair {

/// Identifies a request from its submission to its release. Unique within the node.
using AdmissionTicket = uint64_t;

/// What admission needs to know of a request.
struct AdmissionRequest {
    std::string caller;
    std::string artifact; ///< Model, adapter or service.
    Priority priority { Priority::Normal };
    WorkClass workClass { WorkClass::Short };
    double work { 1 }; ///< Expected work in any unit that is the same for all requests of the artifact.
    size_t bytes { 0 }; ///< Memory that the request takes while it waits.
    TimePoint deadline; ///< End of the response window.
};

/// Size of what serves an artifact.
struct AdmissionCapacity {
    size_t targets { 1 }; ///< Targets that hold the artifact.
    size_t liveNodes { 1 }; ///< Nodes that share them.
};

/// Why a request was refused.
enum class AdmissionRefusal : uint8_t {
    WindowTooShort, ///< The answer cannot be expected within the window.
    QueueFull,
};

template <> struct EnumNames<AdmissionRefusal> {
    static constexpr auto table = std::to_array<EnumName<AdmissionRefusal>>({
        { AdmissionRefusal::WindowTooShort, "window_too_short" },
        { AdmissionRefusal::QueueFull, "queue_full" },
    });
};

/// The request may be sent now and has to be released once it ends.
struct AdmissionGranted { };

/// The request waits. A verdict follows, or the owner withdraws it at `latestStart`.
struct AdmissionQueued {
    TimePoint latestStart;
};

struct AdmissionRefused {
    AdmissionRefusal refusal { AdmissionRefusal::WindowTooShort };
    Duration retryAfter { 0 }; ///< Time in which the present queue is expected to be served.
};

using AdmissionDecision = std::variant<AdmissionGranted, AdmissionQueued, AdmissionRefused>;

/// Decision on a request that was queued before: granted or refused.
struct AdmissionVerdict {
    AdmissionTicket ticket { 0 };
    AdmissionDecision decision;
};

/// Decision on a submitted request, and verdicts on queued ones that follow from it.
struct AdmissionResult {
    AdmissionDecision decision;
    std::vector<AdmissionVerdict> verdicts;
};

/// End of a granted request.
struct AdmissionRelease {
    std::string artifact;
    WorkClass workClass { WorkClass::Short };
    double work { 1 };
    Duration serviceTime { 0 }; ///< From the grant to the end of the answer.
    bool isComplete { false }; ///< False if the answer is no observation of the targets' speed.
};

} // namespace cyclamenstair

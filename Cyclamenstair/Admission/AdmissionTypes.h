#pragma once

#include <Cyclamenstair/Core/Priority.h>
#include <Cyclamenstair/Core/Time.h>

#include <string>
#include <variant>
#include <vector>

namespace cyclamenstair {

/// Identifies a request from its submission to its release. Unique within the node.
using AdmissionTicket = uint64_t;

/// Properties of a request that admission depends on.
struct AdmissionRequest {
    std::string caller;
    std::string artifact; ///< Model, adapter or service.
    Priority priority { Priority::Normal };
    WorkClass workClass { WorkClass::Short };
    double work { 1 }; ///< Expected work in any unit that is the same for all requests of the artifact.
    size_t bytes { 0 }; ///< Memory that the request uses while queued.
    TimePoint deadline; ///< End of the response window.
};

/// Capacity that serves an artifact.
struct AdmissionCapacity {
    size_t targets { 1 }; ///< Targets that hold the artifact.
    size_t liveNodes { 1 }; ///< Live nodes that share these targets.
};

/// Why a request was refused.
enum class AdmissionRefusal : uint8_t {
    WindowTooShort, ///< The response is not expected within the response window.
    QueueFull,
};

template <> struct EnumNames<AdmissionRefusal> {
    static constexpr auto table = std::to_array<EnumName<AdmissionRefusal>>({
        { AdmissionRefusal::WindowTooShort, "window_too_short" },
        { AdmissionRefusal::QueueFull, "queue_full" },
    });
};

/// The request may be sent now. Its end must be reported with `release`.
struct AdmissionGranted { };

/// The request is queued. A deferred decision follows, unless the submitter cancels the request at `latestStart`.
struct AdmissionQueued {
    TimePoint latestStart;
};

struct AdmissionRefused {
    AdmissionRefusal refusal { AdmissionRefusal::WindowTooShort };
    Duration retryAfter { 0 }; ///< Expected time until the current queue has been served.
};

using AdmissionDecision = std::variant<AdmissionGranted, AdmissionQueued, AdmissionRefused>;

/// Decision, granted or refused, on a request that was queued before.
struct DeferredDecision {
    AdmissionTicket ticket { 0 };
    AdmissionDecision decision;
};

/// Decision on a submitted request, and the resulting decisions on queued requests.
struct AdmissionResult {
    AdmissionDecision decision;
    std::vector<DeferredDecision> deferredDecisions;
};

/// End of a granted request.
struct AdmissionCompletion {
    std::string artifact;
    WorkClass workClass { WorkClass::Short };
    double work { 1 };
    Duration serviceTime { 0 }; ///< From the grant to the end of the response.
    bool isComplete { false }; ///< False if the response must not be used as a sample of the targets' speed.
};

} // namespace cyclamenstair

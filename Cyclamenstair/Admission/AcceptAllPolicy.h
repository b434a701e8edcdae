#pragma once

#include <Cyclamenstair/Admission/AdmissionTypes.h>

#include <optional>

namespace cyclamenstair {

/// Grants every request immediately, so that queueing is left to the targets.
class AcceptAllPolicy {
public:
    AdmissionResult submit(AdmissionTicket, const AdmissionRequest&, const AdmissionCapacity&, TimePoint)
    {
        return { AdmissionGranted {}, {} };
    }
    std::vector<DeferredDecision> release(const AdmissionCompletion&, TimePoint) { return {}; }
    std::optional<AdmissionRefused> cancel(const std::string&, AdmissionTicket) { return std::nullopt; }
};

} // namespace cyclamenstair

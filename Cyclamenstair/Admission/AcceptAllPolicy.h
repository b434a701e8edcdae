#pragma once

#include <Cyclamenstair/Admission/AdmissionTypes.h>

#include <optional>

namespace cyclamenstair {

/// Grants every request at once; the targets queue them.
class AcceptAllPolicy {
public:
    AdmissionResult submit(AdmissionTicket, const AdmissionRequest&, const AdmissionCapacity&, TimePoint)
    {
        return { AdmissionGranted {}, {} };
    }
    std::vector<AdmissionVerdict> release(const AdmissionRelease&, TimePoint) { return {}; }
    std::optional<AdmissionRefused> withdraw(const std::string&, AdmissionTicket) { return std::nullopt; }
};

} // namespace cyclamenstair

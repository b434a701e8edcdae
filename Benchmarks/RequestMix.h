#pragma once

#include <Benchmarks/Deployment.h>
#include <Cyclamenstair/Core/Priority.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenstair::load {

/// Point of a rate curve. The rate is interpolated linearly between points.
struct RatePoint {
    double atSeconds { 0 };
    double requestsPerSecond { 0 };
};

/// Kind of a generated request.
enum class RequestKind : uint8_t {
    Completion,
    Booking, ///< Non-repeatable request to a plain service.
};

/// Settings of a generated request mix.
struct MixSettings {
    uint64_t seed { 20261204 };
    std::vector<RatePoint> rate;
    double longWorkShare { 0 }; ///< Share of long work among all requests.
    double bookingShare { 0.02 }; ///< Share of bookings among all requests.
    double streamShare { 0.3 }; ///< Share of streamed responses among completions.
    double meanBurst { 3 }; ///< Mean number of requests in a burst.
    double zipfExponent { 0.9 }; ///< Popularity of rank r is proportional to r^-exponent.
};

/// Request of the mix.
struct PlannedRequest {
    uint64_t number { 0 };
    double atSeconds { 0 }; ///< Planned arrival from the start of the run.
    RequestKind kind { RequestKind::Completion };
    WorkClass workClass { WorkClass::Short };
    size_t caller { 0 }; ///< Index into Deployment::callers.
    std::string artifact;
    std::string prompt; ///< Prompt of a completion, or Idempotency-Key of a booking.
    uint32_t tokens { 0 };
    bool isStream { false };
};

/// Generates the requests of a run in order of arrival. Deterministic for given settings.
std::vector<PlannedRequest> generateRequests(const Deployment& deployment, const MixSettings& settings);

/// Returns the mean engine time of a request in slot-seconds, which converts a share of the capacity to a request rate.
double meanSlotSeconds(const Deployment& deployment, double longWorkShare, double bookingShare);

} // namespace cyclamenstair::load

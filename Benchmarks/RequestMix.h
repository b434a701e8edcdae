#pragma once

#include <Benchmarks/Deployment.h>
#include <Cyclamenstair/Core/Priority.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenstair::load {

/// Point of a rate curve; the rate between two points is linear.
struct RatePoint {
    double atSeconds { 0 };
    double callsPerSecond { 0 };
};

/// Kind of a generated call.
enum class CallKind : uint8_t {
    Completion,
    Booking, ///< Plain service call that may not be repeated.
};

/// Settings of a generated mix.
struct MixSettings {
    uint64_t seed { 20261204 };
    std::vector<RatePoint> rate;
    double longShare { 0 }; ///< Share of long work among all calls.
    double bookingShare { 0.02 };
    double streamShare { 0.3 }; ///< Share of streamed answers among completions.
    double meanBurst { 3 }; ///< Mean number of calls that arrive together.
    double zipfExponent { 0.9 }; ///< Popularity of rank r is proportional to r^-exponent.
};

/// A call of the mix.
struct PlannedCall {
    uint64_t number { 0 };
    double atSeconds { 0 }; ///< Intended arrival from the start of the run.
    CallKind kind { CallKind::Completion };
    WorkClass workClass { WorkClass::Short };
    size_t caller { 0 }; ///< Index into Deployment::callers.
    std::string artifact;
    std::string prompt; ///< Prompt, or Idempotency-Key of a booking.
    uint32_t tokens { 0 };
    bool isStream { false };
};

/// Generates the calls of a run in the order of their arrival. The same settings give the same calls.
std::vector<PlannedCall> generateCalls(const Deployment& deployment, const MixSettings& settings);

/// Mean engine time of a call of the mix in seconds of one slot, for converting a share of capacity to a rate.
double meanSlotSeconds(const Deployment& deployment, double longShare, double bookingShare);

} // namespace cyclamenstair::load

#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Tests/Support/ProcessFleet.h>

#include <map>
#include <string>
#include <vector>

namespace cyclamenstair::load {

/// Deployment that a scenario is sized after.
enum class DeploymentKind : uint8_t {
    PrairieHours,
    PuppyWalker,
};

/// Node settings that a scenario runs with.
enum class PolicyKind : uint8_t {
    Baseline, ///< Round robin; every request is admitted.
    Default, ///< Default settings of the daemon.
};

/// Caller in the generated plan sheet.
struct LoadCaller {
    std::string name;
    std::string token;
    const char* priority;
    int windowMs;
    bool sendsLongWork;
};

/// Sizes of a deployment. Engine times and caller windows are about a tenth of those of large models, and the weight
/// store is ten times faster, so that a run takes seconds.
struct Deployment {
    static Deployment create(DeploymentKind kind);

    int nodes { 7 };
    int engines { 12 };
    int services { 4 };
    int models { 26 };
    int adapters { 60 };
    uint32_t slots { 4 };
    double prefillMs { 20 };
    double tokenMs { 10 };
    int maxConcurrentWeightLoads { 3 };
    double weightLoadMs { 200 }; ///< Duration of one weight load at full speed.
    int maxConcurrentAdapterLoads { 25 };
    int longWorkTokens { 64 }; ///< Setting request.long_work_tokens, scaled like the caller windows.
    std::string serviceName { "bookings" };
    std::vector<LoadCaller> callers;
    std::map<std::string, std::string> nodeSettings; ///< Additional node settings by "section.key".

    /// Returns the names of all models, then of all adapters, each by descending popularity.
    std::vector<std::string> artifacts() const;

    /// Returns the plan sheet.
    std::string sheet() const;

    /// Returns the fleet's settings.
    testing::FleetSettings fleetSettings(PolicyKind policy) const;

    /// Returns the capacity of the engines in slot-seconds per second.
    double slotSecondsPerSecond() const { return static_cast<double>(engines) * slots; }

    /// Returns the time in ms that an idle engine needs to generate `tokens` tokens.
    double engineMs(double tokens) const { return prefillMs + tokens * tokenMs; }

    static constexpr int serviceTimeMs = 20;
};

} // namespace cyclamenstair::load

namespace cyclamenstair {

template <> struct EnumNames<load::DeploymentKind> {
    static constexpr auto table = std::to_array<EnumName<load::DeploymentKind>>({
        { load::DeploymentKind::PrairieHours, "prairie-hours" },
        { load::DeploymentKind::PuppyWalker, "puppy-walker" },
    });
};

template <> struct EnumNames<load::PolicyKind> {
    static constexpr auto table = std::to_array<EnumName<load::PolicyKind>>({
        { load::PolicyKind::Baseline, "baseline" },
        { load::PolicyKind::Default, "default" },
    });
};

} // namespace cyclamenstair

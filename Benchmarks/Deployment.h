#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Tests/Support/ProcessFleet.h>

#include <map>
#include <string>
#include <vector>

namespace cyclamenstair::load {

/// Deployment whose sizes a scenario uses.
enum class DeploymentKind : uint8_t {
    PrairieHours,
    PuppyWalker,
};

/// Settings under which a scenario runs.
enum class PolicyKind : uint8_t {
    Baseline, ///< Round robin, every request accepted.
    Default, ///< Default settings of the daemon.
};

/// A caller of the generated sheet.
struct LoadCaller {
    std::string name;
    std::string token;
    const char* priority;
    int windowMs;
    bool hasLongWork;
};

/// Sizes of a deployment. Engine times and windows are scaled down to about a tenth of those of large models, and the
/// weight store is ten times faster, so that a run takes seconds.
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
    double weightLoadMs { 200 }; ///< Time of one weight load at full speed.
    int maxConcurrentAdapterLoads { 25 };
    int longWorkTokens { 64 }; ///< Setting request.long_work_tokens, scaled like the windows.
    std::string serviceName { "bookings" };
    std::vector<LoadCaller> callers;
    std::map<std::string, std::string> nodeSettings; ///< Further settings of the nodes by "section.key".

    /// Returns the names of all models, then adapters, by falling popularity.
    std::vector<std::string> artifacts() const;

    /// Returns the plan sheet.
    std::string sheet() const;

    /// Returns the fleet's settings.
    testing::FleetSettings fleetSettings(PolicyKind policy) const;

    /// Returns the work in slot-seconds a second that the engines can do.
    double slotSecondsPerSecond() const { return static_cast<double>(engines) * slots; }

    /// Returns the time in ms that an idle engine takes for an answer of `tokens` tokens.
    double engineMs(double tokens) const { return prefillMs + tokens * tokenMs; }

    static constexpr int serviceMs = 20;
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

#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <algorithm>
#include <map>
#include <string>

namespace cyclamenstair {

/// Demand for one artifact in requests per second.
struct ArtifactDemand {
    double fast { 0 }; ///< Average over a short time, which shows a burst at once.
    double slow { 0 }; ///< Average over a long time, which a passing burst hardly changes.

    /// Demand that has lasted.
    double lasting() const { return std::min(fast, slow); }

    /// Demand that may come back.
    double possible() const { return std::max(fast, slow); }

    bool operator==(const ArtifactDemand&) const = default;
};

/// Demand by artifact.
using DemandByArtifact = std::map<std::string, ArtifactDemand>;

/// Settings of a DemandTracker.
struct DemandTrackerSettings {
    Duration fastTime { milliseconds(10'000) }; ///< Time constant of the fast average.
    Duration slowTime { milliseconds(300'000) }; ///< Time constant of the slow average.
    double negligible { 1e-4 }; ///< Requests per second below which an artifact is forgotten.
};

/// Exponentially weighted averages of the requests for each artifact. Callable from many threads.
class DemandTracker {
public:
    explicit DemandTracker(DemandTrackerSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Counts `requests` for the artifact at `now`.
    void record(const std::string& artifact, TimePoint now, double requests = 1);

    /// Returns the demand at `now` and forgets artifacts whose demand is negligible.
    DemandByArtifact demand(TimePoint now);

private:
    struct Average {
        ArtifactDemand demand;
        TimePoint time;
    };
    using Averages = std::map<std::string, Average>;

    void decay(Average& average, TimePoint now) const;

    DemandTrackerSettings m_settings;
    Sharded<std::string, Averages> m_averages;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <algorithm>
#include <map>
#include <string>

namespace cyclamenstair {

/// Demand for one artifact in requests per second.
struct ArtifactDemand {
    double fast { 0 }; ///< Short-term average, which follows bursts.
    double slow { 0 }; ///< Long-term average, which short bursts hardly change.

    /// Demand shown by both averages, which excludes short bursts.
    double sustained() const { return std::min(fast, slow); }

    /// Higher of the two averages, which includes recent demand that may return.
    double peak() const { return std::max(fast, slow); }

    bool operator==(const ArtifactDemand&) const = default;
};

/// Demand by artifact.
using DemandByArtifact = std::map<std::string, ArtifactDemand>;

/// Settings of a DemandTracker.
struct DemandTrackerSettings {
    Duration fastTimeConstant { milliseconds(10'000) }; ///< Time constant of the fast average.
    Duration slowTimeConstant { milliseconds(300'000) }; ///< Time constant of the slow average.
    double minDemand { 1e-4 }; ///< Requests per second below which an artifact is no longer tracked.
};

/// Tracks the demand for each artifact with exponentially weighted averages. Thread-safe.
class DemandTracker {
public:
    explicit DemandTracker(DemandTrackerSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Records `requests` requests for the artifact at `now`.
    void record(const std::string& artifact, TimePoint now, double requests = 1);

    /// Returns the demand at `now` and removes artifacts whose demand is below `minDemand`.
    DemandByArtifact demand(TimePoint now);

private:
    struct Average {
        ArtifactDemand demand;
        TimePoint updatedAt;
    };
    using Averages = std::map<std::string, Average>;

    void decay(Average& average, TimePoint now) const;

    DemandTrackerSettings m_settings;
    Sharded<std::string, Averages> m_averages;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <map>
#include <string>

namespace cyclamenstair {

/// Identifies a model of a service, or an adapter of such a model.
struct ArtifactKey {
    std::string service;
    std::string model;
    std::string adapter; ///< Empty for the model itself.

    auto operator<=>(const ArtifactKey&) const = default;
};

/// Demand for an artifact at one node, or summed over nodes.
struct ArtifactWorkload {
    double arrivalsPerSecond { 0 }; ///< Smoothed over DemandCounter::averagingTime.
    uint32_t inProgress { 0 }; ///< Requests that have arrived and not finished, including queued ones.
    uint32_t waiting { 0 }; ///< Requests in progress that wait for a target which has the artifact.

    bool operator==(const ArtifactWorkload&) const = default;
};

/// Demand by artifact.
using ArtifactWorkloads = std::map<ArtifactKey, ArtifactWorkload>;

/// Tracks the demand for each artifact at this node. State is sharded by model. Thread-safe. Bounds what callers can
/// make it keep: artifacts with long names or names that are not UTF-8, and too many at once, are not counted.
class DemandCounter {
public:
    /// Time constant of the moving average of arrivals. Demand shifts between models within seconds.
    static constexpr Duration averagingTime = milliseconds(2000);

    /// Counts a request that has arrived.
    void countArrival(const ArtifactKey& artifact, TimePoint now);

    /// Counts a request that has finished.
    void countCompletion(const ArtifactKey& artifact);

    /// Counts a request that starts (`delta` 1) or stops (`delta` -1) waiting for the artifact.
    void countWaiting(const ArtifactKey& artifact, int delta);

    /// Returns the demand for every artifact with requests in progress or recent arrivals. Forgets the others.
    ArtifactWorkloads demand(TimePoint now);

    /// Returns the number of artifacts whose counts are kept.
    size_t size() const;

private:
    struct Count {
        double arrivals { 0 }; ///< Exponentially decayed up to updatedAt.
        TimePoint updatedAt;
        int inProgress { 0 };
        int waiting { 0 };
    };

    static void decay(Count& count, TimePoint now);

    Sharded<std::string, std::map<ArtifactKey, Count>> m_counts;
};

} // namespace cyclamenstair

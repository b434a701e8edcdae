#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <map>
#include <string>

namespace cyclamenstair {

/// Model, or adapter of a model, of a service.
struct ArtifactKey {
    std::string service;
    std::string model;
    std::string adapter; ///< Empty for the model itself.

    auto operator<=>(const ArtifactKey&) const = default;
};

/// Demand for an artifact at one node, or summed over nodes.
struct ArtifactLoad {
    double arrivalsPerSecond { 0 }; ///< Smoothed over DemandCounter::averagingTime.
    uint32_t inProgress { 0 }; ///< Requests that have arrived and are not over. Grows with the queue of a model.
    uint32_t waiting { 0 }; ///< Requests among them for which no target holds the artifact.

    bool operator==(const ArtifactLoad&) const = default;
};

/// Counts the work that arrives for each artifact. State is sharded by model. Callable from many threads.
class DemandCounter {
public:
    /// Time over which arrivals are averaged; demand for models moves within seconds.
    static constexpr Duration averagingTime = milliseconds(2000);

    /// Counts a request that has arrived.
    void countArrival(const ArtifactKey& artifact, TimePoint now);

    /// Counts a request that is over.
    void countEnd(const ArtifactKey& artifact);

    /// Counts a request that begins (`change` 1) or ends (-1) to wait for the artifact.
    void countWaiting(const ArtifactKey& artifact, int change);

    /// Returns the demand for all artifacts that have any.
    std::map<ArtifactKey, ArtifactLoad> demand(TimePoint now);

private:
    struct Count {
        double arrivals { 0 }; ///< Decayed.
        TimePoint at;
        int inProgress { 0 };
        int waiting { 0 };
    };

    static void decay(Count& count, TimePoint now);

    Sharded<std::string, std::map<ArtifactKey, Count>> m_counts;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Placement/PlacementTypes.h>

namespace cyclamenstair {

/// Settings of a HysteresisPolicy.
struct HysteresisSettings {
    Duration minDwellTime { milliseconds(120'000) }; ///< Minimum time for which an unplanned copy stays in place.
    double minReplaceRatio { 1.5 }; ///< Minimum demand per copy relative to the replaced model's.
    double minRequestsPerLoad { 10.0 }; ///< Requests within the dwell time that justify a load.
};

/// Keeps copies in place unless sustained demand justifies a load.
///
/// An unplanned copy is added only for demand that both averages show, so that a short burst causes no load. It is
/// replaced only after its dwell time, by a model whose demand per copy is more than `minReplaceRatio` times its own.
class HysteresisPolicy {
public:
    explicit HysteresisPolicy(HysteresisSettings settings = {})
        : m_settings(settings)
    {
    }

    PlacementDecision decide(const PlacementInput& input);

private:
    void updateFirstSeen(const PlacementInput& input);

    HysteresisSettings m_settings;
    /// Time since which each copy has been present, by target and artifact.
    std::map<std::string, std::map<std::string, TimePoint>> m_firstSeenAt;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Placement/PlacementTypes.h>

namespace cyclamenstair {

/// Settings of a HysteresisPolicy.
struct HysteresisSettings {
    Duration minDwell { milliseconds(600'000) }; ///< Time for which a copy beyond the plan stays in its place.
    double replaceRatio { 2.0 }; ///< Demand per copy, relative to the replaced model's, that justifies a replacement.
    double requestsPerLoad { 20.0 }; ///< Requests that a copy must serve within the dwell time to be worth its load.
};

/// Keeps copies where they are unless demand that has lasted justifies a load.
///
/// A copy beyond the plan is added for demand that both averages show, so that a passing burst moves nothing, and
/// replaced only after its dwell time by a model whose demand per copy is a multiple of its own.
class HysteresisPolicy {
public:
    explicit HysteresisPolicy(HysteresisSettings settings = {})
        : m_settings(settings)
    {
    }

    PlacementDecision decide(const PlacementInput& input);

private:
    void noteCopies(const PlacementInput& input);

    HysteresisSettings m_settings;
    std::map<std::string, std::map<std::string, TimePoint>> m_since; ///< First sight of each copy, by target.
};

} // namespace cyclamenstair

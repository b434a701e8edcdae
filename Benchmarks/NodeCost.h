#pragma once

#include <Benchmarks/Scenario.h>

namespace cyclamenstair::load {

/// Measured point.
struct CostPoint {
    double x { 0 };
    double y { 0 };
};

/// Line fitted to measured points.
struct CostLine {
    double slope { 0 };
    double intercept { 0 };

    /// Fits a line by least squares. Returns a zero line if all points have the same x.
    static CostLine fit(const std::vector<CostPoint>& points);
};

/// Measures the cost that a node adds to direct requests: latency by response length, processor time by number of
/// requests and of streamed tokens, and resident memory by number of open streams.
ScenarioReport runNodeCost(const ScenarioOptions& options);

} // namespace cyclamenstair::load

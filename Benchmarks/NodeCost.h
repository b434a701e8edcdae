#pragma once

#include <Benchmarks/Scenario.h>

namespace cyclamenstair::load {

/// Point of a measured line.
struct CostPoint {
    double x { 0 };
    double y { 0 };
};

/// Straight line through measured points by least squares.
struct CostLine {
    double slope { 0 };
    double intercept { 0 };

    static CostLine fit(const std::vector<CostPoint>& points);
};

/// Measures what one node adds to direct calls: latency against the length of the answer, processor time against the
/// number of requests, resident memory against the number of open streams.
ScenarioReport runNodeCost(const ScenarioOptions& options);

} // namespace cyclamenstair::load

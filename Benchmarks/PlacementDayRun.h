#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Placement/PlacementPolicy.h>

#include <memory>

namespace cyclamenstair::benchmarks {

/// What one policy did over the generated day.
struct PlacementDayResult {
    uint64_t modelMoves { 0 }; ///< Loads of models after the first hour, in which the plan is brought up.
    uint64_t adapterLoads { 0 };
    double requests { 0 };
    double attained { 0 }; ///< Requests whose model had a copy with spare capacity.

    double attainment() const { return requests > 0 ? attained / requests : 0; }
};

/// One generated day of demand on a pool of the size of today's deployments: 12 targets in 4 failure domains, 26 models
/// and 60 adapters, 3 model loads at once that take 2 s each. The demand of each model swings tenfold, within 2 s, for
/// bursts of seconds up to stretches of more than an hour, on top of a daily curve. A seed fixes the day; nothing does
/// I/O.
class PlacementDayRun {
public:
    PlacementDayRun(PlacementPolicy policy, uint64_t seed);

    PlacementDayResult run();

private:
    struct Swing {
        int64_t beginSecond;
        int64_t endSecond;
        double factor;
    };

    void makePlan();
    void makeDemand();
    double rateOf(size_t model, int64_t second) const;
    void serve(int64_t second);
    void decide(int64_t second);
    void finishLoads(int64_t second);

    struct PendingLoad {
        TargetLedger* ledger;
        std::string artifact;
        int64_t endSecond;
    };

    PlacementPolicy m_policy;
    Random m_random;
    Plan m_plan;
    std::vector<std::unique_ptr<TargetLedger>> m_ledgers;
    std::vector<double> m_baseRates; ///< Requests per second by model.
    std::vector<std::vector<Swing>> m_swings; ///< By model.
    std::vector<PendingLoad> m_pending;
    DemandTracker m_demand;
    PlacementDayResult m_result;
};

} // namespace cyclamenstair::benchmarks

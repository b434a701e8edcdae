#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Placement/PlacementPolicy.h>

#include <memory>

namespace cyclamenstair::benchmarks {

/// Result of one policy for the generated day.
struct PlacementDayResult {
    uint64_t modelMoves { 0 }; ///< Model loads after the first hour, in which the plan is first loaded.
    uint64_t adapterLoads { 0 };
    double requests { 0 };
    double attained { 0 }; ///< Requests for models that had a copy with spare capacity.

    double attainment() const { return requests > 0 ? attained / requests : 0; }
};

/// Simulation of one day of demand on a pool of the current deployments' size: 12 targets in 4 failure domains, 26
/// models, 60 adapters, and 3 concurrent model loads of 2 s each. The demand of each model rises tenfold within 2 s,
/// for bursts of 20 s to 80 min, on top of a daily curve. Deterministic for a given seed; does no I/O.
class PlacementDayRun {
public:
    PlacementDayRun(PlacementPolicy policy, uint64_t seed);

    PlacementDayResult run();

private:
    struct DemandBurst {
        int64_t startSecond;
        int64_t endSecond;
        double factor;
    };

    void generatePlan();
    void generateDemand();
    double requestRate(size_t model, int64_t second) const;
    void serveRequests(int64_t second);
    void updatePlacement(int64_t second);
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
    std::vector<std::vector<DemandBurst>> m_bursts; ///< By model.
    std::vector<PendingLoad> m_pendingLoads;
    DemandTracker m_demandTracker;
    PlacementDayResult m_result;
};

} // namespace cyclamenstair::benchmarks

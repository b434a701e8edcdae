#include <Benchmarks/PlacementDayRun.h>

#include <cstdlib>
#include <iostream>

/// Simulates one generated day with both placement policies and compares model moves and attainment. The exit status is
/// 0 if the default policy makes at most half as many moves as the baseline without lower attainment.
/// Optional argument: seed of the day.
int main(int argc, char** argv)
{
    using namespace cyclamenstair;
    using namespace cyclamenstair::benchmarks;
    const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    const auto printResult = [](const char* name, const PlacementDayResult& result) {
        std::cout << name << ": model moves " << result.modelMoves << ", adapter loads " << result.adapterLoads
                  << ", requests " << static_cast<uint64_t>(result.requests) << ", attainment " << result.attainment()
                  << "\n";
    };
    const auto baseline = PlacementDayRun(FollowDemandPolicy(), seed).run();
    printResult("follow_demand", baseline);
    const auto hysteresis = PlacementDayRun(HysteresisPolicy(), seed).run();
    printResult("hysteresis", hysteresis);
    const bool isMet
        = hysteresis.modelMoves * 2 <= baseline.modelMoves && hysteresis.attainment() >= baseline.attainment();
    std::cout << "bound (moves at most half, attainment no lower): " << (isMet ? "met" : "missed") << "\n";
    return isMet ? EXIT_SUCCESS : EXIT_FAILURE;
}

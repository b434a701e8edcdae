#include <Benchmarks/PlacementDayRun.h>

#include <cstdlib>
#include <iostream>

/// Runs one generated day through both placement policies and compares model moves and attainment. The exit status is 0
/// if the default policy makes at most half of the baseline's moves at no lower attainment. Argument: seed of the day.
int main(int argc, char** argv)
{
    using namespace cyclamenstair;
    using namespace cyclamenstair::benchmarks;
    const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    const auto show = [](const char* name, const PlacementDayResult& result) {
        std::cout << name << ": model moves " << result.modelMoves << ", adapter loads " << result.adapterLoads
                  << ", requests " << static_cast<uint64_t>(result.requests) << ", attainment " << result.attainment()
                  << "\n";
    };
    const auto baseline = PlacementDayRun(FollowDemandPolicy(), seed).run();
    show("follow_demand", baseline);
    const auto measured = PlacementDayRun(HysteresisPolicy(), seed).run();
    show("hysteresis", measured);
    const bool isMet = measured.modelMoves * 2 <= baseline.modelMoves && measured.attainment() >= baseline.attainment();
    std::cout << "bound (moves at most half, attainment no lower): " << (isMet ? "met" : "missed") << "\n";
    return isMet ? EXIT_SUCCESS : EXIT_FAILURE;
}

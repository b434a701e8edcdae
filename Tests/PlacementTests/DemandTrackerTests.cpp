#include <Cyclamenstair/Placement/DemandTracker.h>

#include <gtest/gtest.h>

namespace cyclamenstair {
namespace {

    const TimePoint start(milliseconds(1'000'000));

    // Guards against a slow average that a short burst raises as much as sustained demand.
    TEST(DemandTracker, BurstRaisesOnlyTheFastAverage)
    {
        DemandTracker tracker;
        for (int ms = 0; ms < 2000; ++ms)
            tracker.record("m", start + milliseconds(ms));
        const auto demand = tracker.demand(start + milliseconds(2000)).at("m");
        EXPECT_GT(demand.fast, 100);
        EXPECT_LT(demand.slow, 10);
    }

    // Guards against averages that are biased at a constant request rate.
    TEST(DemandTracker, SteadyDemandConvergesInBothAverages)
    {
        DemandTracker tracker;
        for (int64_t ms = 0; ms < 3'000'000; ms += 100)
            tracker.record("m", start + milliseconds(ms));
        const auto demand = tracker.demand(start + milliseconds(3'000'000)).at("m");
        EXPECT_NEAR(demand.fast, 10, 0.2);
        EXPECT_NEAR(demand.slow, 10, 0.2);
    }

    // Guards against a table that grows with every artifact ever requested.
    TEST(DemandTracker, RemovesArtifactsWithoutDemand)
    {
        DemandTracker tracker;
        tracker.record("m", start);
        EXPECT_TRUE(tracker.demand(start + milliseconds(10'000'000)).empty());
        EXPECT_TRUE(tracker.demand(start).empty());
    }

} // namespace
} // namespace cyclamenstair

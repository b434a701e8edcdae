#include <Cyclamenstair/Routing/RoutingPolicy.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    std::vector<RouteCandidate> candidates(size_t count)
    {
        std::vector<RouteCandidate> all;
        for (size_t i = 0; i < count; ++i)
            all.push_back({ "t" + std::to_string(i), "", "" });
        return all;
    }

    TEST(Router, PicksNothingWithoutCandidates)
    {
        TargetTable targets;
        Random random(1);
        EXPECT_FALSE(Router(RoundRobinPolicy {}, targets).pick({}, random));
        EXPECT_FALSE(Router(LeastInFlightPolicy {}, targets).pick({}, random));
    }

    TEST(Router, RoundRobinTakesTurns)
    {
        TargetTable targets;
        Random random(1);
        Router router(RoundRobinPolicy {}, targets);
        for (size_t i = 0; i < 6; ++i)
            EXPECT_EQ(router.pick(candidates(3), random), i % 3);
    }

    // Guards against a choice of a busier target while a less busy one is there.
    RC_GTEST_PROP(Router, leastInFlightPicksAMinimum, (uint64_t seed))
    {
        Random random(seed);
        TargetTable targets;
        const auto all = candidates(*rc::gen::inRange<size_t>(1, 8));
        uint32_t least = 100;
        for (const auto& candidate : all) {
            const auto count = *rc::gen::inRange<uint32_t>(0, 5);
            for (uint32_t i = 0; i < count; ++i)
                targets.beginAttempt(candidate.target);
            least = std::min(least, count);
        }
        const auto choice = Router(LeastInFlightPolicy {}, targets).pick(all, random);
        RC_ASSERT(targets.load(all[*choice].target).inFlight == least);
    }

} // namespace
} // namespace cyclamenstair

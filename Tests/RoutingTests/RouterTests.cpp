#include <Cyclamenstair/Routing/Router.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace cyclamenstair {
namespace {

    constexpr TimePoint start { Duration(1'000'000'000) };

    std::vector<RouteCandidate> candidates(size_t count)
    {
        std::vector<RouteCandidate> all;
        for (size_t i = 0; i < count; ++i)
            all.push_back({ "t" + std::to_string(i), "", "" });
        return all;
    }

    RouteQuery query(TimePoint now = start)
    {
        RouteQuery result;
        result.pool = "pool";
        result.failureDomain = "here";
        result.work.tokens = 10;
        result.now = now;
        return result;
    }

    /// Router with its observations.
    struct Fixture {
        explicit Fixture(RoutingPolicy policy)
            : router(policy, targets, detector)
        {
        }

        void makeSlow(const std::string& slow, const std::vector<RouteCandidate>& all)
        {
            for (int round = 0; round < 4; ++round) {
                for (const auto& candidate : all)
                    detector.observe(
                        "pool", candidate.target, SpeedKind::FirstToken, candidate.target == slow ? 10 : 1, start);
            }
        }

        TargetTable targets;
        StragglerDetector detector;
        Router router;
    };

    TEST(Router, PicksNothingWithoutCandidates)
    {
        Random random(1);
        for (const RoutingPolicy& policy : { RoutingPolicy(RoundRobinPolicy {}), RoutingPolicy(LeastInFlightPolicy {}),
                 RoutingPolicy(WeightedPolicy {}) })
            EXPECT_FALSE(Fixture(policy).router.pick({}, query(), random));
    }

    TEST(Router, RoundRobinTakesTurns)
    {
        Random random(1);
        Fixture fixture { RoundRobinPolicy {} };
        for (size_t i = 0; i < 6; ++i)
            EXPECT_EQ(fixture.router.pick(candidates(3), query(), random), i % 3);
    }

    // Guards against a choice of a busier target while a less busy one is there.
    RC_GTEST_PROP(Router, leastInFlightPicksAMinimum, (uint64_t seed))
    {
        Random random(seed);
        Fixture fixture { LeastInFlightPolicy {} };
        const auto all = candidates(*rc::gen::inRange<size_t>(1, 8));
        uint32_t least = 100;
        for (const auto& candidate : all) {
            const auto count = *rc::gen::inRange<uint32_t>(0, 5);
            for (uint32_t i = 0; i < count; ++i)
                fixture.targets.beginAttempt(candidate.target);
            least = std::min(least, count);
        }
        const auto choice = fixture.router.pick(all, query(), random);
        RC_ASSERT(fixture.targets.load(all[*choice].target).inFlight == least);
    }

    // Guards against routing that counts requests alone: one long request is more work than two short ones. With two
    // candidates both are compared, so that the choice is certain.
    RC_GTEST_PROP(Router, weightedAvoidsTheTargetWithMoreWork, (uint64_t seed))
    {
        Random random(seed);
        Fixture fixture { WeightedPolicy {} };
        fixture.targets.beginAttempt("t0", { 2000, WorkClass::Long });
        const auto shortCount = *rc::gen::inRange(0, 4);
        for (int i = 0; i < shortCount; ++i)
            fixture.targets.beginAttempt("t1", { 16, WorkClass::Short });
        RC_ASSERT(fixture.router.pick(candidates(2), query(), random) == 1u);
    }

    // Guards against nodes that all follow the same late report to one target, which they would overload.
    RC_GTEST_PROP(Router, nodesWithTheSameLateReportSpread, (uint64_t seed))
    {
        constexpr size_t nodes = 400;
        const auto all = candidates(*rc::gen::inRange<size_t>(4, 13));
        std::map<size_t, size_t> chosen;
        for (size_t node = 0; node < nodes; ++node) {
            Random random(seed + node);
            Fixture fixture { WeightedPolicy {} };
            for (const auto& candidate : all)
                fixture.targets.report(candidate.target, candidate.target == "t0" ? 0 : 20, start);
            ++chosen[*fixture.router.pick(all, query(), random)];
        }
        // Two random choices give the least loaded target 2 / n of the picks; 1.5 times that is the bound.
        RC_ASSERT(chosen[0] <= nodes * 3 / all.size());
        RC_ASSERT(chosen.size() == all.size());
    }

    // Guards against an old report that outweighs the node's own view for ever.
    TEST(Router, ReportsFadeWithTheirAge)
    {
        Fixture fixture { WeightedPolicy {} };
        fixture.targets.report("t0", 20, start);
        fixture.targets.beginAttempt("t1", { 100, WorkClass::Short });
        Random random(1);
        EXPECT_EQ(fixture.router.pick(candidates(2), query(), random), 1u);
        EXPECT_EQ(fixture.router.pick(candidates(2), query(start + std::chrono::seconds(10)), random), 0u);
    }

    // Guards against work for a straggler beyond its probes.
    RC_GTEST_PROP(Router, stragglersGetOnlyProbes, (uint64_t seed))
    {
        Random random(seed);
        Fixture fixture { WeightedPolicy {} };
        const auto all = candidates(*rc::gen::inRange<size_t>(3, 13));
        fixture.makeSlow("t1", all);
        int toStraggler = 0;
        constexpr int picks = 1000; // One each 2 ms, so that 2 s allow 4 probes.
        for (int i = 0; i < picks; ++i)
            toStraggler += *fixture.router.pick(all, query(start + 2 * i * milliseconds(1)), random) == 1 ? 1 : 0;
        RC_ASSERT(toStraggler >= 1);
        RC_ASSERT(toStraggler <= 4);
    }

    // Guards against requests without any target because the only one that holds the artifact is a straggler.
    TEST(Router, TheOnlyCandidateIsTakenEvenOnProbation)
    {
        Fixture fixture { WeightedPolicy {} };
        fixture.makeSlow("t1", candidates(4));
        ASSERT_EQ(fixture.detector.onProbation("pool"), std::vector<std::string> { "t1" });
        Random random(1);
        EXPECT_EQ(fixture.router.pick({ { "t1", "", "" } }, query(), random), 0u);
    }

    // Guards against a dead target that attracts all requests because nothing is in flight there.
    TEST(Router, FailingTargetIsAvoided)
    {
        Fixture fixture { WeightedPolicy {} };
        for (int i = 0; i < 3; ++i)
            fixture.targets.beginAttempt("t1", { 50, WorkClass::Short });
        fixture.targets.beginAttempt("t0");
        fixture.targets.endAttempt("t0", false, {}, start);
        fixture.targets.beginAttempt("t0");
        fixture.targets.endAttempt("t0", false, {}, start);
        Random random(1);
        EXPECT_EQ(fixture.router.pick(candidates(2), query(), random), 1u);
    }

    // Guards against repeated prompts that miss the prefix cache, and against a cache hit bought with overload.
    RC_GTEST_PROP(Router, affinityHoldsUntilItsTargetIsBusier, (uint64_t hash, uint64_t seed))
    {
        Random random(seed);
        Fixture fixture { WeightedPolicy {} };
        const auto all = candidates(6);
        auto repeated = query();
        repeated.prefixHash = hash;
        fixture.router.pick(all, repeated, random);
        std::set<size_t> chosen;
        for (int i = 0; i < 20; ++i)
            chosen.insert(*fixture.router.pick(all, repeated, random));
        RC_ASSERT(chosen.size() == 1u);
        const auto affine = *chosen.begin();

        // Bounded load: as requests of one prefix stay in flight, they spread over the targets.
        std::map<std::string, int> counts;
        for (int i = 0; i < 120; ++i) {
            const auto& target = all[*fixture.router.pick(all, repeated, random)].target;
            fixture.targets.beginAttempt(target, repeated.work);
            ++counts[target];
        }
        // A target's load is at most 1.25 times the mean of 20 and the request that reaches the bound; the targets of
        // random choices stay below that.
        RC_ASSERT(counts[all[affine].target] <= 27);
    }

    // Guards against traffic to another failure domain while this node's own domain is as good.
    TEST(Router, OwnFailureDomainBreaksTies)
    {
        Fixture fixture { WeightedPolicy {} };
        Random random(1);
        const std::vector<RouteCandidate> all { { "t0", "", "there" }, { "t1", "", "here" } };
        EXPECT_EQ(fixture.router.pick(all, query(), random), 1u);
        fixture.targets.beginAttempt("t1", { 100, WorkClass::Short });
        EXPECT_EQ(fixture.router.pick(all, query(), random), 0u);
    }

    // Guards against long jobs that fill every slot of a target, so that short work waits behind them.
    RC_GTEST_PROP(TargetTable, longWorkIsBoundedAndShortWorkIsNot, (const std::vector<bool>& kinds))
    {
        TargetTable targets;
        uint32_t longCount = 0;
        for (const bool isLong : kinds) {
            const AttemptWork work { 600, isLong ? WorkClass::Long : WorkClass::Short };
            const bool isTaken = targets.tryBeginAttempt("t", work, 2);
            RC_ASSERT(isTaken == (!isLong || longCount < 2));
            longCount += isTaken && isLong ? 1 : 0;
        }
        RC_ASSERT(targets.load("t").longInFlight == longCount);
    }

} // namespace
} // namespace cyclamenstair

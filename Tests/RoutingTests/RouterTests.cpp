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

    /// Router with the load and speed observations it depends on.
    struct RouterFixture {
        explicit RouterFixture(RoutingPolicy policy)
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

    // Guards against a policy that indexes into an empty candidate list.
    TEST(Router, ReturnsNoValueWithoutCandidates)
    {
        Random random(1);
        for (const RoutingPolicy& policy : { RoutingPolicy(RoundRobinPolicy {}), RoutingPolicy(LeastInFlightPolicy {}),
                 RoutingPolicy(WeightedPolicy {}) })
            EXPECT_FALSE(RouterFixture(policy).router.pick({}, query(), random));
    }

    // Guards against round robin skipping or repeating a candidate.
    TEST(Router, RoundRobinSelectsCandidatesInTurn)
    {
        Random random(1);
        RouterFixture fixture { RoundRobinPolicy {} };
        for (size_t i = 0; i < 6; ++i)
            EXPECT_EQ(fixture.router.pick(candidates(3), query(), random), i % 3);
    }

    // Guards against selecting a target with more attempts in flight than another candidate.
    RC_GTEST_PROP(Router, leastInFlightSelectsAMinimum, (uint64_t seed))
    {
        Random random(seed);
        RouterFixture fixture { LeastInFlightPolicy {} };
        const auto all = candidates(*rc::gen::inRange<size_t>(1, 8));
        uint32_t minInFlight = 100;
        for (const auto& candidate : all) {
            const auto count = *rc::gen::inRange<uint32_t>(0, 5);
            for (uint32_t i = 0; i < count; ++i)
                fixture.targets.beginAttempt(candidate.target);
            minInFlight = std::min(minInFlight, count);
        }
        const auto choice = fixture.router.pick(all, query(), random);
        RC_ASSERT(fixture.targets.load(all[*choice].target).inFlight == minInFlight);
    }

    // Guards against routing by request count alone: one long request is more work than several short ones. With two
    // candidates, both are always compared.
    RC_GTEST_PROP(Router, weightedAvoidsTheTargetWithMoreWork, (uint64_t seed))
    {
        Random random(seed);
        RouterFixture fixture { WeightedPolicy {} };
        fixture.targets.beginAttempt("t0", { 2000, WorkClass::Long });
        const auto shortCount = *rc::gen::inRange(0, 4);
        for (int i = 0; i < shortCount; ++i)
            fixture.targets.beginAttempt("t1", { 16, WorkClass::Short });
        RC_ASSERT(fixture.router.pick(candidates(2), query(), random) == 1u);
    }

    // Guards against nodes that all select, and overload, the target with the lowest load in an outdated report.
    RC_GTEST_PROP(Router, nodesWithTheSameOutdatedReportSpread, (uint64_t seed))
    {
        constexpr size_t nodes = 400;
        const auto all = candidates(*rc::gen::inRange<size_t>(4, 13));
        std::map<size_t, size_t> selected;
        for (size_t node = 0; node < nodes; ++node) {
            Random random(seed + node);
            RouterFixture fixture { WeightedPolicy {} };
            for (const auto& candidate : all)
                fixture.targets.recordLoadReport(candidate.target, candidate.target == "t0" ? 0 : 20, start);
            ++selected[*fixture.router.pick(all, query(), random)];
        }
        // With two random choices, the least loaded target gets 2 / n of the picks. The bound is 1.5 times that.
        RC_ASSERT(selected[0] <= nodes * 3 / all.size());
        RC_ASSERT(selected.size() == all.size());
    }

    // Guards against an old load report that keeps outweighing the node's own observations.
    TEST(Router, ReportWeightDecaysWithAge)
    {
        RouterFixture fixture { WeightedPolicy {} };
        fixture.targets.recordLoadReport("t0", 20, start);
        fixture.targets.beginAttempt("t1", { 100, WorkClass::Short });
        Random random(1);
        EXPECT_EQ(fixture.router.pick(candidates(2), query(), random), 1u);
        EXPECT_EQ(fixture.router.pick(candidates(2), query(start + std::chrono::seconds(10)), random), 0u);
    }

    // Guards against sending a straggler more requests than its probes.
    RC_GTEST_PROP(Router, stragglersGetOnlyProbes, (uint64_t seed))
    {
        Random random(seed);
        RouterFixture fixture { WeightedPolicy {} };
        const auto all = candidates(*rc::gen::inRange<size_t>(3, 13));
        fixture.makeSlow("t1", all);
        int stragglerPicks = 0;
        constexpr int picks = 1000; // One every 2 ms; 2 s allow 4 probes.
        for (int i = 0; i < picks; ++i)
            stragglerPicks += *fixture.router.pick(all, query(start + 2 * i * milliseconds(1)), random) == 1 ? 1 : 0;
        RC_ASSERT(stragglerPicks >= 1);
        RC_ASSERT(stragglerPicks <= 4);
    }

    // Guards against requests that get no target because the only candidate is on probation.
    TEST(Router, OnlyCandidateIsSelectedEvenOnProbation)
    {
        RouterFixture fixture { WeightedPolicy {} };
        fixture.makeSlow("t1", candidates(4));
        ASSERT_EQ(fixture.detector.targetsOnProbation("pool"), std::vector<std::string> { "t1" });
        Random random(1);
        EXPECT_EQ(fixture.router.pick({ { "t1", "", "" } }, query(), random), 0u);
    }

    // Guards against a failed target that attracts all requests because it has none in flight.
    TEST(Router, FailingTargetIsAvoided)
    {
        RouterFixture fixture { WeightedPolicy {} };
        for (int i = 0; i < 3; ++i)
            fixture.targets.beginAttempt("t1", { 50, WorkClass::Short });
        fixture.targets.beginAttempt("t0");
        fixture.targets.endAttempt("t0", false, {}, start);
        fixture.targets.beginAttempt("t0");
        fixture.targets.endAttempt("t0", false, {}, start);
        Random random(1);
        EXPECT_EQ(fixture.router.pick(candidates(2), query(), random), 1u);
    }

    // Guards against repeated prompts that miss the prefix cache, and against overloading a target for cache hits.
    RC_GTEST_PROP(Router, affinityHoldsUntilTheTargetIsOverloaded, (uint64_t hash, uint64_t seed))
    {
        Random random(seed);
        RouterFixture fixture { WeightedPolicy {} };
        const auto all = candidates(6);
        auto repeated = query();
        repeated.prefixHash = hash;
        fixture.router.pick(all, repeated, random);
        std::set<size_t> selected;
        for (int i = 0; i < 20; ++i)
            selected.insert(*fixture.router.pick(all, repeated, random));
        RC_ASSERT(selected.size() == 1u);
        const auto affineTarget = *selected.begin();

        // Bounded load: while the requests of one prefix stay in flight, they spread over the targets.
        std::map<std::string, int> counts;
        for (int i = 0; i < 120; ++i) {
            const auto& target = all[*fixture.router.pick(all, repeated, random)].target;
            fixture.targets.beginAttempt(target, repeated.work);
            ++counts[target];
        }
        // The prefix's target gets at most 1.25 times the mean of 20, plus the request that reaches the bound. The
        // targets of random choices stay below that.
        RC_ASSERT(counts[all[affineTarget].target] <= 27);
    }

    // Guards against traffic to another failure domain at equal cost.
    TEST(Router, OwnFailureDomainBreaksTies)
    {
        RouterFixture fixture { WeightedPolicy {} };
        Random random(1);
        const std::vector<RouteCandidate> all { { "t0", "", "there" }, { "t1", "", "here" } };
        EXPECT_EQ(fixture.router.pick(all, query(), random), 1u);
        fixture.targets.beginAttempt("t1", { 100, WorkClass::Short });
        EXPECT_EQ(fixture.router.pick(all, query(), random), 0u);
    }

    // Guards against long requests that occupy every slot of a target, so that short requests queue behind them.
    RC_GTEST_PROP(TargetTable, onlyLongWorkIsBounded, (const std::vector<bool>& kinds))
    {
        TargetTable targets;
        uint32_t longCount = 0;
        for (const bool isLong : kinds) {
            const AttemptWork work { 600, isLong ? WorkClass::Long : WorkClass::Short };
            const bool isRecorded = targets.tryBeginAttempt("t", work, 2);
            RC_ASSERT(isRecorded == (!isLong || longCount < 2));
            longCount += isRecorded && isLong ? 1 : 0;
        }
        RC_ASSERT(targets.load("t").longInFlight == longCount);
    }

} // namespace
} // namespace cyclamenstair

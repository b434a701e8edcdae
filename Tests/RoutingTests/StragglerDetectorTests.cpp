#include <Cyclamenstair/Routing/StragglerDetector.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    constexpr TimePoint start { Duration(1'000'000'000) };
    constexpr const char* pool = "pool";

    std::string targetName(size_t index) { return "t" + std::to_string(100 + index); }

    void observeResponse(StragglerDetector& detector, size_t target, double slowness, TimePoint now = start)
    {
        detector.observe(pool, targetName(target), SpeedKind::FirstToken, slowness, now);
    }

    /// Records `rounds` responses of each of `count` targets. The first `slowCount` targets are slower by `factor`.
    void observeResponses(StragglerDetector& detector, size_t count, size_t slowCount, double factor, int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            for (size_t target = 0; target < count; ++target)
                observeResponse(detector, target, target < slowCount ? factor : 1);
        }
    }

    // Guards against undetected stragglers: 2 of 12 targets at a tenth of the speed, after 3 responses each.
    TEST(StragglerDetector, DetectsTwoOfTwelveWithinThreeResponses)
    {
        StragglerDetector detector;
        observeResponses(detector, 12, 2, 10, 3);
        EXPECT_EQ(detector.targetsOnProbation(pool), (std::vector<std::string> { targetName(0), targetName(1) }));
    }

    // Guards against a straggler that is not detected because none of its attempts has ended yet.
    TEST(StragglerDetector, OneVerySlowPendingAttemptIsEnough)
    {
        StragglerDetector detector;
        observeResponses(detector, 6, 0, 1, 3);
        detector.observePending(pool, targetName(0), 4, start);
        EXPECT_TRUE(detector.targetsOnProbation(pool).empty());
        detector.observePending(pool, targetName(0), 8, start);
        EXPECT_EQ(detector.targetsOnProbation(pool), std::vector<std::string> { targetName(0) });
    }

    // Guards against slow decoding that is masked by fast first tokens.
    TEST(StragglerDetector, DetectsSlowDecoding)
    {
        StragglerDetector detector;
        for (int round = 0; round < 3; ++round) {
            for (size_t target = 0; target < 6; ++target) {
                observeResponse(detector, target, 1);
                detector.observe(pool, targetName(target), SpeedKind::PerToken, target == 3 ? 10 : 1, start);
            }
        }
        EXPECT_EQ(detector.targetsOnProbation(pool), std::vector<std::string> { targetName(3) });
    }

    // Guards against overload being mistaken for stragglers: removing targets would make it worse.
    RC_GTEST_PROP(StragglerDetector, uniformSlownessEjectsNoTarget, ())
    {
        StragglerDetector detector;
        const auto count = *rc::gen::inRange<size_t>(1, 20);
        observeResponses(detector, count, 0, 1, 8);
        const auto factor = *rc::gen::inRange(5, 50);
        // All targets have a pending attempt before any slowness grows, so the order within the pool does not matter.
        for (size_t target = 0; target < count; ++target)
            detector.observePending(pool, targetName(target), 1 + 0.01 * static_cast<double>(target), start);
        for (int step = 1; step <= factor; ++step) {
            for (size_t target = 0; target < count; ++target)
                detector.observePending(pool, targetName(target), step, start);
        }
        RC_ASSERT(detector.targetsOnProbation(pool).empty());
    }

    // Guards against the detector removing too much of a pool's capacity.
    RC_GTEST_PROP(StragglerDetector, atMostAThirdIsOnProbation, ())
    {
        StragglerDetector detector;
        const auto count = *rc::gen::inRange<size_t>(1, 20);
        const auto steps = *rc::gen::inRange(1, 300);
        observeResponses(detector, count, 0, 1, 1);
        for (int step = 0; step < steps; ++step) {
            const auto target = *rc::gen::inRange<size_t>(0, count);
            const auto now = start + step * milliseconds(10);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                detector.observeFailure(pool, targetName(target), now);
                break;
            case 1:
                detector.observePending(pool, targetName(target), *rc::gen::inRange(1, 100), now);
                break;
            default:
                observeResponse(detector, target, *rc::gen::inRange(1, 100), now);
            }
            RC_ASSERT(detector.targetsOnProbation(pool).size() <= count / 3);
        }
    }

    // Guards against a recovered target that stays on probation, and against a slow one whose probation ends.
    TEST(StragglerDetector, ProbationEndsOnlyAfterSuccessfulProbes)
    {
        StragglerDetector detector;
        observeResponses(detector, 6, 1, 10, 3);
        auto now = start;
        const auto probe = [&](double slowness, int64_t intervalMs = 500) {
            now += milliseconds(intervalMs - 1);
            EXPECT_FALSE(detector.tryStartProbe(pool, targetName(0), now));
            now += milliseconds(1);
            EXPECT_TRUE(detector.tryStartProbe(pool, targetName(0), now));
            observeResponse(detector, 0, slowness, now);
            return detector.targetsOnProbation(pool).empty();
        };
        EXPECT_FALSE(probe(1));
        EXPECT_FALSE(probe(1));
        EXPECT_FALSE(probe(10));
        EXPECT_FALSE(probe(10, 1000));
        EXPECT_FALSE(probe(1, 2000));
        EXPECT_FALSE(probe(1));
        EXPECT_TRUE(probe(1));
    }

    // Guards against a straggler that is not detected because each of its attempts is cancelled when the hedge
    // succeeds, and against a cancelled probe that counts as a success.
    TEST(StragglerDetector, CancelledAttemptsCountAgainstTheTarget)
    {
        StragglerDetector detector;
        observeResponses(detector, 6, 0, 1, 3);
        for (int i = 0; i < 4; ++i)
            detector.observeCancelled(pool, targetName(0), 4, start);
        EXPECT_TRUE(detector.isOnProbation(pool, targetName(0)));
        for (int i = 0; i < 10; ++i)
            detector.observeCancelled(pool, targetName(0), 1, start);
        EXPECT_TRUE(detector.isOnProbation(pool, targetName(0)));
    }

    // Guards against a slow target that raises the factors of the pool's other targets, and against factors below 1.
    TEST(StragglerDetector, FactorsAreRelativeToThePoolMedian)
    {
        StragglerDetector detector;
        observeResponses(detector, 6, 1, 2, 3);
        const auto speeds
            = detector.speeds(pool, { { targetName(0), "", "" }, { targetName(1), "", "" }, { "new", "", "" } }, start);
        EXPECT_DOUBLE_EQ(speeds[0].factor, 2);
        EXPECT_DOUBLE_EQ(speeds[1].factor, 1);
        EXPECT_DOUBLE_EQ(speeds[2].factor, 1);
    }

} // namespace
} // namespace cyclamenstair

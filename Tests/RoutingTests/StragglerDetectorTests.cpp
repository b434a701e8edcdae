#include <Cyclamenstair/Routing/StragglerDetector.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    constexpr TimePoint start { Duration(1'000'000'000) };
    constexpr const char* pool = "pool";

    std::string name(size_t index) { return "t" + std::to_string(100 + index); }

    void answer(StragglerDetector& detector, size_t target, double slowness, TimePoint now = start)
    {
        detector.observe(pool, name(target), SpeedKind::FirstToken, slowness, now);
    }

    /// Gives each of `count` targets `rounds` answers; the first `slow` of them are slower by `factor`.
    void answers(StragglerDetector& detector, size_t count, size_t slow, double factor, int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            for (size_t target = 0; target < count; ++target)
                answer(detector, target, target < slow ? factor : 1);
        }
    }

    // Guards against stragglers that stay unnoticed: 2 of 12 targets at a tenth of the speed, within 3 answers each.
    TEST(StragglerDetector, FindsTwoOfTwelveWithinThreeAnswers)
    {
        StragglerDetector detector;
        answers(detector, 12, 2, 10, 3);
        EXPECT_EQ(detector.onProbation(pool), (std::vector<std::string> { name(0), name(1) }));
    }

    // Guards against a straggler that is not noticed because its answers are still under way.
    TEST(StragglerDetector, OneAttemptThatWaitsFarLongerCountsAtOnce)
    {
        StragglerDetector detector;
        answers(detector, 6, 0, 1, 3);
        detector.observeWaiting(pool, name(0), 4, start);
        EXPECT_TRUE(detector.onProbation(pool).empty());
        detector.observeWaiting(pool, name(0), 8, start);
        EXPECT_EQ(detector.onProbation(pool), std::vector<std::string> { name(0) });
    }

    // Guards against slow decoding that hides behind quick first tokens.
    TEST(StragglerDetector, SlowTokensCount)
    {
        StragglerDetector detector;
        for (int round = 0; round < 3; ++round) {
            for (size_t target = 0; target < 6; ++target) {
                answer(detector, target, 1);
                detector.observe(pool, name(target), SpeedKind::PerToken, target == 3 ? 10 : 1, start);
            }
        }
        EXPECT_EQ(detector.onProbation(pool), std::vector<std::string> { name(3) });
    }

    // Guards against load that is taken for stragglers: taking targets away would make it worse.
    RC_GTEST_PROP(StragglerDetector, allSlowEjectsNobody, ())
    {
        StragglerDetector detector;
        const auto count = *rc::gen::inRange<size_t>(1, 20);
        answers(detector, count, 0, 1, 8);
        const auto factor = *rc::gen::inRange(5, 50);
        // The order within the pool must not matter: all requests that wait are seen before or between answers.
        for (size_t target = 0; target < count; ++target)
            detector.observeWaiting(pool, name(target), 1 + 0.01 * static_cast<double>(target), start);
        for (int step = 1; step <= factor; ++step) {
            for (size_t target = 0; target < count; ++target)
                detector.observeWaiting(pool, name(target), step, start);
        }
        RC_ASSERT(detector.onProbation(pool).empty());
    }

    // Guards against a pool that loses its capacity to the detector.
    RC_GTEST_PROP(StragglerDetector, atMostAThirdIsOnProbation, ())
    {
        StragglerDetector detector;
        const auto count = *rc::gen::inRange<size_t>(1, 20);
        const auto steps = *rc::gen::inRange(1, 300);
        answers(detector, count, 0, 1, 1);
        for (int step = 0; step < steps; ++step) {
            const auto target = *rc::gen::inRange<size_t>(0, count);
            const auto now = start + step * milliseconds(10);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                detector.observeFailure(pool, name(target), now);
                break;
            case 1:
                detector.observeWaiting(pool, name(target), *rc::gen::inRange(1, 100), now);
                break;
            default:
                answer(detector, target, *rc::gen::inRange(1, 100), now);
            }
            RC_ASSERT(detector.onProbation(pool).size() <= count / 3);
        }
    }

    // Guards against a target that recovered and never gets work again, and against one that returns while it is slow.
    TEST(StragglerDetector, ReturnsAfterSuccessfulProbesOnly)
    {
        StragglerDetector detector;
        answers(detector, 6, 1, 10, 3);
        auto now = start;
        const auto probe = [&](double slowness, int64_t pauseMs = 500) {
            now += milliseconds(pauseMs - 1);
            EXPECT_FALSE(detector.claimProbe(pool, name(0), now));
            now += milliseconds(1);
            EXPECT_TRUE(detector.claimProbe(pool, name(0), now));
            answer(detector, 0, slowness, now);
            return detector.onProbation(pool).empty();
        };
        EXPECT_FALSE(probe(1));
        EXPECT_FALSE(probe(1));
        EXPECT_FALSE(probe(10));
        EXPECT_FALSE(probe(10, 1000));
        EXPECT_FALSE(probe(1, 2000));
        EXPECT_FALSE(probe(1));
        EXPECT_TRUE(probe(1));
    }

    // Guards against a straggler that stays in use because each of its attempts is cancelled when the hedge answers,
    // and against a probe that counts as a success because it was cancelled early.
    TEST(StragglerDetector, OvertakenAttemptsCountAgainstTheTarget)
    {
        StragglerDetector detector;
        answers(detector, 6, 0, 1, 3);
        for (int i = 0; i < 4; ++i)
            detector.observeOvertaken(pool, name(0), 4, start);
        EXPECT_TRUE(detector.isOnProbation(pool, name(0)));
        for (int i = 0; i < 10; ++i)
            detector.observeOvertaken(pool, name(0), 1, start);
        EXPECT_TRUE(detector.isOnProbation(pool, name(0)));
    }

    // Guards against a slow target that is dear for others of the pool, or a factor that rewards fast answers of one.
    TEST(StragglerDetector, FactorsAreRelativeToThePool)
    {
        StragglerDetector detector;
        answers(detector, 6, 1, 2, 3);
        const auto speeds
            = detector.speeds(pool, { { name(0), "", "" }, { name(1), "", "" }, { "new", "", "" } }, start);
        EXPECT_DOUBLE_EQ(speeds[0].factor, 2);
        EXPECT_DOUBLE_EQ(speeds[1].factor, 1);
        EXPECT_DOUBLE_EQ(speeds[2].factor, 1);
    }

} // namespace
} // namespace cyclamenstair

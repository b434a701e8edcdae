#include <Cyclamenstair/Routing/WorkEstimator.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    // Guards against an estimate above the caller's own limit, whatever was observed.
    RC_GTEST_PROP(WorkEstimator, staysWithinMaxTokens, (const std::vector<uint16_t>& lengths, uint16_t maxTokens))
    {
        WorkEstimator estimator;
        for (const auto length : lengths)
            estimator.observeTokens("m", maxTokens, length);
        const auto work = estimator.estimate("m", maxTokens);
        RC_ASSERT(work.tokens >= 0 && work.tokens <= maxTokens + 1e-6);
        RC_ASSERT((work.workClass == WorkClass::Long) == (work.tokens >= 512));
    }

    // Guards against requests that count as long for ever because their callers always ask for the maximum.
    TEST(WorkEstimator, LearnsTheLengthOfAnswersPerModel)
    {
        WorkEstimator estimator;
        EXPECT_EQ(estimator.estimate("m", 1000).workClass, WorkClass::Long);
        estimator.observeTokens("m", 1000, 100);
        EXPECT_EQ(estimator.estimate("m", 1000).workClass, WorkClass::Long);
        for (int i = 0; i < 50; ++i)
            estimator.observeTokens("m", 1000, 100);
        EXPECT_NEAR(estimator.estimate("m", 1000).tokens, 100, 20);
        EXPECT_EQ(estimator.estimate("m", 1000).workClass, WorkClass::Short);
        EXPECT_EQ(estimator.estimate("other", 1000).workClass, WorkClass::Long);
    }

    // Guards against hedges on a guess, and against a few slow answers that shift the expected time.
    TEST(WorkEstimator, TimesAreMediansOfEnoughObservations)
    {
        WorkEstimator estimator;
        for (int i = 0; i < 4; ++i)
            estimator.observeFirstToken("m", milliseconds(10));
        EXPECT_FALSE(estimator.firstTokenTime("m"));
        for (int i = 0; i < 20; ++i)
            estimator.observeFirstToken("m", milliseconds(i % 5 == 0 ? 100 : 10));
        EXPECT_EQ(estimator.firstTokenTime("m"), milliseconds(10));
        EXPECT_EQ(estimator.lateAfter(milliseconds(10)), milliseconds(30));
        EXPECT_EQ(estimator.lateAfter(milliseconds(1)), milliseconds(20));
    }

    // Guards against long whole answers that count as late because short ones are quick.
    TEST(WorkEstimator, WholeAnswersScaleWithTheirWork)
    {
        WorkEstimator estimator;
        for (int i = 0; i < 10; ++i)
            estimator.observeWhole("m", milliseconds(20), 16);
        EXPECT_EQ(estimator.wholeTime("m", 16), milliseconds(20));
        EXPECT_EQ(estimator.wholeTime("m", 196), milliseconds(200));
    }

} // namespace
} // namespace cyclamenstair

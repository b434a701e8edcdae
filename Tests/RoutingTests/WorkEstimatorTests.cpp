#include <Cyclamenstair/Routing/WorkEstimator.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    // Guards against an estimate above the request's `max_tokens`.
    RC_GTEST_PROP(
        WorkEstimator, estimateStaysWithinMaxTokens, (const std::vector<uint16_t>& lengths, uint16_t maxTokens))
    {
        WorkEstimator estimator;
        for (const auto length : lengths)
            estimator.observeResponseTokens("m", maxTokens, length);
        const auto work = estimator.estimate("m", maxTokens);
        RC_ASSERT(work.tokens >= 0 && work.tokens <= maxTokens + 1e-6);
        RC_ASSERT((work.workClass == WorkClass::Long) == (work.tokens >= 512));
    }

    // Guards against requests that always count as long because their callers always set a high `max_tokens`.
    TEST(WorkEstimator, LearnsResponseLengthPerModel)
    {
        WorkEstimator estimator;
        EXPECT_EQ(estimator.estimate("m", 1000).workClass, WorkClass::Long);
        estimator.observeResponseTokens("m", 1000, 100);
        EXPECT_EQ(estimator.estimate("m", 1000).workClass, WorkClass::Long);
        for (int i = 0; i < 50; ++i)
            estimator.observeResponseTokens("m", 1000, 100);
        EXPECT_NEAR(estimator.estimate("m", 1000).tokens, 100, 20);
        EXPECT_EQ(estimator.estimate("m", 1000).workClass, WorkClass::Short);
        EXPECT_EQ(estimator.estimate("other", 1000).workClass, WorkClass::Long);
    }

    // Guards against hedging on too few observations, and against a few slow responses that shift the expected time.
    TEST(WorkEstimator, TimesAreMediansOfEnoughObservations)
    {
        WorkEstimator estimator;
        for (int i = 0; i < 4; ++i)
            estimator.observeFirstTokenTime("m", milliseconds(10));
        EXPECT_FALSE(estimator.firstTokenTime("m"));
        for (int i = 0; i < 20; ++i)
            estimator.observeFirstTokenTime("m", milliseconds(i % 5 == 0 ? 100 : 10));
        EXPECT_EQ(estimator.firstTokenTime("m"), milliseconds(10));
        EXPECT_EQ(estimator.lateThreshold(milliseconds(10)), milliseconds(30));
        EXPECT_EQ(estimator.lateThreshold(milliseconds(1)), milliseconds(20));
    }

    // Guards against long buffered responses that count as late because short ones are fast.
    TEST(WorkEstimator, BufferedResponseTimeScalesWithWork)
    {
        WorkEstimator estimator;
        for (int i = 0; i < 10; ++i)
            estimator.observeBufferedResponseTime("m", milliseconds(20), 16);
        EXPECT_EQ(estimator.bufferedResponseTime("m", 16), milliseconds(20));
        EXPECT_EQ(estimator.bufferedResponseTime("m", 196), milliseconds(200));
    }

} // namespace
} // namespace cyclamenstair

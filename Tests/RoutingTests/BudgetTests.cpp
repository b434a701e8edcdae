#include <Cyclamenstair/Routing/HedgeBudget.h>
#include <Cyclamenstair/Routing/RetryBudget.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    constexpr TimePoint start { Duration(1'000'000'000) };

    // Guards against hedges that exceed their fraction of the requests at any time.
    RC_GTEST_PROP(HedgeBudget, neverExceedsItsFraction, (const std::vector<bool>& steps))
    {
        const double share = *rc::gen::inRange(0, 100) / 100.0;
        HedgeBudget budget({ share, 16 });
        double requests = 0;
        double hedges = 0;
        for (const bool isRequest : steps) {
            if (isRequest) {
                budget.recordRequest();
                ++requests;
            } else if (budget.tryAcquire()) {
                ++hedges;
            }
            RC_ASSERT(hedges <= share * requests + 1e-6);
        }
    }

    // Guards against hedging in addition to many retries, and against a burst of hedges after a quiet period.
    TEST(HedgeBudget, RetriesAreChargedAndCreditIsBounded)
    {
        HedgeBudget budget({ 0.5, 4 });
        for (int i = 0; i < 1000; ++i)
            budget.recordRequest();
        budget.chargeAttempt();
        int hedges = 0;
        while (budget.tryAcquire())
            ++hedges;
        EXPECT_EQ(hedges, 3);
    }

    // Guards against retries that multiply the load while targets fail, per target and for the whole node.
    RC_GTEST_PROP(RetryBudget, neverExceedsItsAllowance, (const std::vector<uint8_t>& steps))
    {
        const RetryAllowance perTarget { 0.1, 2, 3 };
        const RetryAllowance total { 0.1, 3, 5 };
        RetryBudget budget(perTarget, total);
        std::array<double, 3> requests {};
        std::array<double, 3> retries {};
        auto now = start;
        for (const auto step : steps) {
            const size_t target = step % 3;
            const auto name = std::to_string(target);
            now += milliseconds(step % 7);
            if (step % 5 == 0) {
                budget.recordFirstAttempt(name, now);
                ++requests[target];
            } else if (budget.tryAcquire(name, now)) {
                ++retries[target];
            }
            const double seconds = toSeconds(now - start);
            for (size_t i = 0; i < 3; ++i)
                RC_ASSERT(retries[i] <= 3 + 0.1 * requests[i] + 2 * seconds + 1e-6);
            RC_ASSERT(retries[0] + retries[1] + retries[2]
                <= 5 + 0.1 * (requests[0] + requests[1] + requests[2]) + 3 * seconds + 1e-6);
        }
    }

    // Guards against many nodes that each round a part below one retry up to a full retry.
    TEST(RetryBudget, PartBelowHalfARetryGetsCreditFromAttemptsOnly)
    {
        RetryBudget budget({ 0.25, 1, 8 }, { 1, 1e6, 1e6 });
        budget.setNodeCount(4);
        EXPECT_TRUE(budget.tryAcquire("target", start));
        EXPECT_TRUE(budget.tryAcquire("target", start));
        EXPECT_FALSE(budget.tryAcquire("target", start));
        budget.setNodeCount(20);
        const auto later = start + std::chrono::minutes(10);
        EXPECT_FALSE(budget.tryAcquire("target", later));
        for (int i = 0; i < 4; ++i)
            budget.recordFirstAttempt("target", later);
        EXPECT_TRUE(budget.tryAcquire("target", later));
        EXPECT_FALSE(budget.tryAcquire("target", later));
    }

    // Guards against a node with little traffic that can never retry.
    TEST(RetryBudget, RefillsOverTimeWithoutAttempts)
    {
        RetryBudget budget({ 0, 2, 1 }, { 0, 10, 10 });
        EXPECT_TRUE(budget.tryAcquire("t", start));
        EXPECT_FALSE(budget.tryAcquire("t", start));
        EXPECT_TRUE(budget.tryAcquire("t", start + milliseconds(500)));
    }

} // namespace
} // namespace cyclamenstair

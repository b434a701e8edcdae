#include <Cyclamenstair/Admission/CallerLimiter.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    const TimePoint start { std::chrono::hours(1) };

    /// Runs `rates.size()` nodes for `seconds`, with a request every 1/rate seconds at each node and an exchange of
    /// demands every 500 ms. Returns the requests that were let through at each node.
    std::vector<int> run(const std::vector<double>& rates, const CallerLimit& limit, int seconds)
    {
        std::vector<CallerLimiter> nodes(rates.size());
        std::vector<int> passed(rates.size(), 0);
        std::vector<double> due(rates.size(), 0);
        for (int step = 0; step < seconds * 1000; ++step) {
            const auto now = start + milliseconds(step);
            for (size_t i = 0; i < nodes.size(); ++i) {
                for (due[i] += rates[i] / 1000; due[i] >= 1; due[i] -= 1)
                    passed[i] += !nodes[i].take("c", limit, nodes.size(), now);
            }
            if (step % 500 != 0)
                continue;
            for (size_t i = 0; i < nodes.size(); ++i) {
                CallerDemands others;
                for (size_t j = 0; j < nodes.size(); ++j) {
                    if (j != i)
                        others["c"] += nodes[j].demands(now)["c"];
                }
                nodes[i].setOtherDemands(others);
            }
        }
        return passed;
    }

    TEST(CallerLimiter, CallerWithoutLimitIsNeverRefused)
    {
        CallerLimiter limiter;
        for (int i = 0; i < 1000; ++i)
            EXPECT_FALSE(limiter.take("c", {}, 3, start));
    }

    TEST(CallerLimiter, BurstThenRateOnASingleNode)
    {
        CallerLimiter limiter;
        int passed = 0;
        std::optional<Duration> wait;
        for (int i = 0; i < 50; ++i) {
            if ((wait = limiter.take("c", { 10, 20 }, 1, start)))
                break;
            ++passed;
        }
        EXPECT_EQ(passed, 20);
        ASSERT_TRUE(wait);
        EXPECT_TRUE(limiter.take("c", { 10, 20 }, 1, start + *wait / 2));
        EXPECT_FALSE(limiter.take("c", { 10, 20 }, 1, start + *wait + milliseconds(1)));
    }

    // Guards against a caller whose requests reach one node only and who gets a fraction of the rate.
    TEST(CallerLimiter, ShareMovesToTheNodeThatIsUsed)
    {
        const auto passed = run({ 200, 0, 0, 0, 0, 0, 0 }, { 50, 10 }, 30);
        EXPECT_GE(passed[0], 0.85 * 50 * 30);
    }

    // Guards against a fleet that lets more than the rate through, wherever the caller's requests arrive.
    RC_GTEST_PROP(CallerLimiter, theFleetKeepsToTheRate, ())
    {
        const auto rates = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 120));
        constexpr double rate = 40;
        constexpr double burst = 10;
        constexpr int seconds = 20;
        int passed = 0;
        for (const auto count : run({ rates.begin(), rates.end() }, { rate, burst }, seconds))
            passed += count;
        // Until the nodes know each other's demands, each may use the whole rate: two exchanges of 500 ms.
        RC_ASSERT(passed <= rate * seconds + burst + 4 * rate * 1.0);
    }

} // namespace
} // namespace cyclamenstair

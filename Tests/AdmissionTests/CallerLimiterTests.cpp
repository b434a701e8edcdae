#include <Cyclamenstair/Admission/CallerLimiter.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    const TimePoint start { std::chrono::hours(1) };

    /// Simulates `rates.size()` nodes for `seconds`, with `rates[i]` requests per second at node i and an exchange of
    /// demands every 500 ms. Returns the number of requests admitted at each node.
    std::vector<int> simulateNodes(const std::vector<double>& rates, const CallerLimit& limit, int seconds)
    {
        std::vector<CallerLimiter> nodes(rates.size());
        std::vector<int> admitted(rates.size(), 0);
        std::vector<double> pendingRequests(rates.size(), 0);
        for (int step = 0; step < seconds * 1000; ++step) {
            const auto now = start + milliseconds(step);
            for (size_t i = 0; i < nodes.size(); ++i) {
                for (pendingRequests[i] += rates[i] / 1000; pendingRequests[i] >= 1; pendingRequests[i] -= 1)
                    admitted[i] += !nodes[i].consumeOrGetDelay("c", limit, nodes.size(), now);
            }
            if (step % 500 != 0)
                continue;
            for (size_t i = 0; i < nodes.size(); ++i) {
                CallerDemands others;
                for (size_t j = 0; j < nodes.size(); ++j) {
                    if (j != i)
                        others["c"] += nodes[j].demands(now)["c"];
                }
                nodes[i].setRemoteDemands(others);
            }
        }
        return admitted;
    }

    // Guards against a rate of 0 being enforced instead of meaning no limit.
    TEST(CallerLimiter, CallerWithoutLimitIsNeverRefused)
    {
        CallerLimiter limiter;
        for (int i = 0; i < 1000; ++i)
            EXPECT_FALSE(limiter.consumeOrGetDelay("c", {}, 3, start));
    }

    // Guards against a wrong burst size and a retry delay that is too short or too long.
    TEST(CallerLimiter, AllowsBurstThenRateOnASingleNode)
    {
        CallerLimiter limiter;
        int admitted = 0;
        std::optional<Duration> wait;
        for (int i = 0; i < 50; ++i) {
            if ((wait = limiter.consumeOrGetDelay("c", { 10, 20 }, 1, start)))
                break;
            ++admitted;
        }
        EXPECT_EQ(admitted, 20);
        ASSERT_TRUE(wait);
        EXPECT_TRUE(limiter.consumeOrGetDelay("c", { 10, 20 }, 1, start + *wait / 2));
        EXPECT_FALSE(limiter.consumeOrGetDelay("c", { 10, 20 }, 1, start + *wait + milliseconds(1)));
    }

    // Guards against a caller that sends all its requests to one node and gets only a fraction of its rate.
    TEST(CallerLimiter, ShareMovesToTheNodeWithDemand)
    {
        const auto admitted = simulateNodes({ 200, 0, 0, 0, 0, 0, 0 }, { 50, 10 }, 30);
        EXPECT_GE(admitted[0], 0.85 * 50 * 30);
    }

    // Guards against the nodes together admitting more than the rate, however the requests are distributed.
    RC_GTEST_PROP(CallerLimiter, allNodesTogetherStayWithinTheRate, ())
    {
        const auto rates = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 120));
        constexpr double rate = 40;
        constexpr double burst = 10;
        constexpr int seconds = 20;
        int admitted = 0;
        for (const auto count : simulateNodes({ rates.begin(), rates.end() }, { rate, burst }, seconds))
            admitted += count;
        // Until the nodes have exchanged their demands (two exchanges of 500 ms), each may use the whole rate.
        RC_ASSERT(admitted <= rate * seconds + burst + 4 * rate * 1.0);
    }

} // namespace
} // namespace cyclamenstair

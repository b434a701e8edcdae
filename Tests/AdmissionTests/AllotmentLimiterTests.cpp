#include <Cyclamenstair/Admission/AllotmentLimiter.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <functional>
#include <memory>

namespace cyclamenstair {
namespace {

    const TimePoint start { std::chrono::hours(1) };
    constexpr Duration step = milliseconds(10);
    constexpr double requestUnits = 1600;

    /// Limits of the users' pages: window, tolerated factor and constant slack in units.
    constexpr Duration window = std::chrono::seconds(8);
    constexpr double overFactor = 1.1;
    constexpr double slack = 11000;

    /// Nodes that exchange their usage with a delay. Requests arrive at random nodes.
    class AllotmentFleet {
    public:
        AllotmentFleet(size_t nodeCount, FleetRate rate, Duration exchangeDelay, uint64_t seed)
            : m_rate(rate)
            , m_exchangeDelay(exchangeDelay)
            , m_random(seed)
        {
            for (size_t i = 0; i < nodeCount; ++i) {
                m_nodes.push_back(std::make_unique<AllotmentLimiter>());
                m_nodes.back()->setRates({ { "t", rate } }, m_now);
            }
            exchange();
        }

        /// Plays `seconds` with `requestsPerSecond` over all nodes. Returns the part of the requests that was admitted.
        double play(double seconds, double requestsPerSecond)
        {
            size_t offered = 0;
            size_t admitted = 0;
            for (const auto end = m_now + Duration(static_cast<int64_t>(seconds * 1e6)); m_now < end;) {
                m_now += step;
                if (m_now - m_lastExchangeAt >= milliseconds(200))
                    exchange();
                std::poisson_distribution<size_t> arrivals(requestsPerSecond * toSeconds(step));
                for (auto count = arrivals(m_random); count > 0; --count) {
                    const auto node = randomIndex(m_random, m_nodes.size());
                    ++offered;
                    if (!m_nodes[node]->consumeOrGetDelay("t", requestUnits, m_now, m_random)) {
                        ++admitted;
                        m_admittedAt.push_back(m_now);
                    }
                }
            }
            return offered == 0 ? 1 : static_cast<double>(admitted) / static_cast<double>(offered);
        }

        /// The first `count` nodes neither send nor receive usage.
        void cutOff(size_t count) { m_cutOff = count; }

        void restartNode(size_t node)
        {
            m_nodes[node] = std::make_unique<AllotmentLimiter>();
            m_nodes[node]->setRates({ { "t", m_rate } }, m_now);
            // A node that has just started knows only the setting for the least number of nodes.
            constexpr size_t leastNodeCount = 16;
            m_nodes[node]->setRemoteUsage({}, 1, leastNodeCount, m_now);
        }

        /// Returns the most units admitted in any window, relative to what the pages allow.
        double worstWindow() const
        {
            const double allowed = (m_rate.unitsPerSecond * toSeconds(window) + m_rate.burst) * overFactor + slack;
            size_t first = 0;
            size_t most = 0;
            for (size_t last = 0; last < m_admittedAt.size(); ++last) {
                while (m_admittedAt[last] - m_admittedAt[first] > window)
                    ++first;
                most = std::max(most, last - first + 1);
            }
            return static_cast<double>(most) * requestUnits / allowed;
        }

    private:
        /// Delivers the usage that was sent before the exchange delay, and sends the present one.
        void exchange()
        {
            m_lastExchangeAt = m_now;
            std::vector<TeamUsages> usages;
            for (const auto& node : m_nodes)
                usages.push_back(node->usage(m_now));
            m_sent.emplace_back(m_now, std::move(usages));
            while (m_sent.size() > 1 && m_now - m_sent[1].first >= m_exchangeDelay)
                m_sent.pop_front();
            for (size_t i = m_cutOff; i < m_nodes.size(); ++i) {
                TeamUsages remote;
                for (size_t j = m_cutOff; j < m_nodes.size(); ++j) {
                    for (const auto& [team, usage] : m_sent.front().second[j]) {
                        if (i == j)
                            continue;
                        remote[team].offered += usage.offered;
                        remote[team].admitted += usage.admitted;
                    }
                }
                m_nodes[i]->setRemoteUsage(remote, m_nodes.size() - m_cutOff, m_nodes.size(), m_now);
            }
        }

        FleetRate m_rate;
        Duration m_exchangeDelay;
        Random m_random;
        std::vector<std::unique_ptr<AllotmentLimiter>> m_nodes;
        std::deque<std::pair<TimePoint, std::vector<TeamUsages>>> m_sent;
        std::vector<TimePoint> m_admittedAt;
        size_t m_cutOff { 0 };
        TimePoint m_now { start };
        TimePoint m_lastExchangeAt {};
    };

    constexpr size_t nodeCount = 83;
    /// Usage passes from a node to its collector, to another collector and to a node, and waits up to 200 ms for each
    /// message. The first wait is that for the exchange itself.
    constexpr Duration usualDelay = milliseconds(200);

    /// Rate in units per second of a team that sends `requestsPerSecond` and may send 1.8 times that.
    FleetRate rateFor(double requestsPerSecond)
    {
        const double rate = 1.8 * requestUnits * requestsPerSecond;
        return { rate, rate };
    }

    // Guards against a rate of 0 being enforced instead of meaning no limit.
    TEST(AllotmentLimiter, TeamsWithoutRateAreNotLimited)
    {
        AllotmentLimiter limiter;
        Random random(1);
        limiter.setRates({ { "t", {} } }, start);
        for (int i = 0; i < 1000; ++i) {
            EXPECT_FALSE(limiter.consumeOrGetDelay("t", 1e6, start, random));
            EXPECT_FALSE(limiter.consumeOrGetDelay("unknown", 1e6, start, random));
        }
    }

    // Guards against refusing a team that stays below its rate while its requests are spread over many nodes.
    TEST(AllotmentLimiter, TeamBelowItsRateIsRarelyRefused)
    {
        AllotmentFleet fleet(nodeCount, rateFor(100), usualDelay, 1);
        fleet.play(5, 100);
        EXPECT_GT(fleet.play(30, 100), 0.99);
    }

    // Guards against a team that loses its allotment to its own excess requests.
    TEST(AllotmentLimiter, TeamAboveItsRateGetsMostOfIt)
    {
        AllotmentFleet fleet(nodeCount, rateFor(100), usualDelay, 1);
        fleet.play(10, 750);
        EXPECT_GT(fleet.play(20, 750) * 750, 0.85 * 1.8 * 100);
    }

    // Guards against nodes that together admit more than the rate because each knows the usage of the others late: a
    // team that suddenly sends many times its usual, again and again.
    RC_GTEST_PROP(AllotmentLimiter, fleetStaysWithinTheBoundWhenATeamSurges, ())
    {
        const auto usual = static_cast<double>(*rc::gen::inRange(1, 150));
        const auto seed = *rc::gen::inRange<uint64_t>(1, 1000000);
        const auto delay = milliseconds(*rc::gen::inRange(0, 401));
        AllotmentFleet fleet(nodeCount, rateFor(usual), delay, seed);
        fleet.play(4, usual);
        for (int i = 0; i < 2; ++i) {
            fleet.play(6, usual * *rc::gen::inRange(2, 9));
            fleet.play(2, usual);
        }
        RC_ASSERT(fleet.worstWindow() <= 1);
    }

    // The same with usage that is known still later, as with busy collectors. Known to fail, see KNOWN-RED.txt.
    RC_GTEST_PROP(AllotmentLimiter, fleetStaysWithinTheBoundWithSlowExchange, ())
    {
        const auto usual = static_cast<double>(*rc::gen::inRange(1, 150));
        const auto seed = *rc::gen::inRange<uint64_t>(1, 1000000);
        AllotmentFleet fleet(nodeCount, rateFor(usual), milliseconds(*rc::gen::inRange(401, 601)), seed);
        fleet.play(4, usual);
        for (int i = 0; i < 2; ++i) {
            fleet.play(6, usual * *rc::gen::inRange(2, 9));
            fleet.play(2, usual);
        }
        RC_ASSERT(fleet.worstWindow() <= 1);
    }

    // Guards against two parts of a fleet that each use the whole rate: a third of the nodes is cut off while a team
    // sends many times its usual.
    RC_GTEST_PROP(AllotmentLimiter, fleetStaysWithinTheBoundWhileNodesAreCutOff, ())
    {
        const auto usual = static_cast<double>(*rc::gen::inRange(10, 150));
        AllotmentFleet fleet(nodeCount, rateFor(usual), usualDelay, *rc::gen::inRange<uint64_t>(1, 1000000));
        fleet.play(4, usual);
        fleet.cutOff(*rc::gen::inRange<size_t>(1, nodeCount / 3));
        fleet.play(4, usual);
        fleet.play(10, usual * *rc::gen::inRange(2, 7));
        RC_ASSERT(fleet.worstWindow() <= 1);
    }

    // Guards against restarts that renew the allotment: all nodes restart while a team uses its whole rate.
    RC_GTEST_PROP(AllotmentLimiter, fleetStaysWithinTheBoundAfterAllNodesRestart, ())
    {
        const auto usual = static_cast<double>(*rc::gen::inRange(10, 150));
        AllotmentFleet fleet(nodeCount, rateFor(usual), usualDelay, *rc::gen::inRange<uint64_t>(1, 1000000));
        fleet.play(10, usual * 5);
        for (size_t i = 0; i < nodeCount; ++i)
            fleet.restartNode(i);
        fleet.play(10, usual * 5);
        RC_ASSERT(fleet.worstWindow() <= 1);
    }

    // Guards against a node that was suspended and spends what it was entitled to before.
    TEST(AllotmentLimiter, NodeWithOldViewUsesASmallPartOfTheRate)
    {
        AllotmentLimiter limiter;
        Random random(1);
        limiter.setRates({ { "t", { 100, 100 } } }, start);
        limiter.setRemoteUsage({ { "t", { 90, 90 } } }, nodeCount, nodeCount, start);
        EXPECT_TRUE(limiter.hasMajorityView(start));
        const auto wokenAt = start + std::chrono::seconds(10);
        EXPECT_FALSE(limiter.hasMajorityView(wokenAt));
        int admitted = 0;
        for (int i = 0; i < 1000; ++i)
            admitted += !limiter.consumeOrGetDelay("t", 1, wokenAt + milliseconds(i), random);
        EXPECT_LT(admitted, 100 / 10);
    }

    // Guards against a lowered rate that binds only after the former burst was used.
    TEST(AllotmentLimiter, LoweredRateBindsAtOnce)
    {
        AllotmentLimiter limiter;
        Random random(1);
        limiter.setRates({ { "t", { 1000, 1000 } } }, start);
        limiter.setRates({ { "t", { 10, 10 } } }, start);
        int admitted = 0;
        for (int i = 0; i < 1000; ++i)
            admitted += !limiter.consumeOrGetDelay("t", 1, start, random);
        EXPECT_LE(admitted, 11);
    }

    // Guards against requests that have not run being charged.
    TEST(AllotmentLimiter, RefundedUnitsCanBeUsedAgain)
    {
        AllotmentLimiter limiter;
        Random random(1);
        limiter.setRates({ { "t", { 10, 10 } } }, start);
        const auto levelBefore = limiter.levels().at("t");
        for (int i = 0; i < 1000; ++i) {
            if (!limiter.consumeOrGetDelay("t", 1, start, random))
                limiter.refund("t", 1, start);
        }
        EXPECT_EQ(limiter.levels().at("t"), levelBefore);
    }

} // namespace
} // namespace cyclamenstair

#include <Cyclamenstair/Fleet/RelayPeers.h>
#include <Cyclamenstair/Fleet/TargetReach.h>

#include <gtest/gtest.h>

namespace cyclamenstair {

namespace {

    constexpr TimePoint start { std::chrono::seconds(100) };

    size_t countFailuresUntilIsolated(size_t targetCount)
    {
        TargetReach reach;
        for (size_t failures = 1; failures <= targetCount; ++failures) {
            if (reach.recordConnectFailure("i-" + std::to_string(failures), targetCount))
                return failures;
        }
        return 0;
    }

} // namespace

TEST(TargetReach, IsolatedOnceHalfOfTheTargetsCannotBeReached)
{
    EXPECT_EQ(countFailuresUntilIsolated(1), 1U);
    EXPECT_EQ(countFailuresUntilIsolated(3), 2U);
    EXPECT_EQ(countFailuresUntilIsolated(12), 6U);
    EXPECT_EQ(countFailuresUntilIsolated(3000), 8U);
}

// Targets that crash one after the other are no evidence against the node's own links.
TEST(TargetReach, OpenedConnectionEndsSuspicionAndIsolation)
{
    TargetReach reach;
    (void)reach.recordConnectFailure("i-1", 4);
    (void)reach.recordConnected();
    EXPECT_FALSE(reach.recordConnectFailure("i-2", 4));
    EXPECT_TRUE(reach.recordConnectFailure("i-3", 4));
    EXPECT_TRUE(reach.isIsolated());
    EXPECT_TRUE(reach.recordConnected());
    EXPECT_FALSE(reach.isIsolated());
    EXPECT_FALSE(reach.isSuspect(start));
}

TEST(TargetReach, RepeatedFailureOfOneTargetIsNoIsolation)
{
    TargetReach reach;
    for (int i = 0; i < 100; ++i)
        EXPECT_FALSE(reach.recordConnectFailure("i-1", 4));
    EXPECT_FALSE(reach.isSuspect(start));
}

// Connections that were open before live on while new ones are refused.
TEST(TargetReach, DataOnOpenConnectionsDoesNotEndIsolation)
{
    TargetReach reach;
    (void)reach.recordConnectFailure("i-1", 2);
    (void)reach.recordConnectFailure("i-2", 2);
    reach.recordReceived(start);
    EXPECT_TRUE(reach.isIsolated());
    EXPECT_FALSE(reach.isCutOff(start + milliseconds(999)));
    EXPECT_TRUE(reach.isCutOff(start + milliseconds(1000)));
}

TEST(TargetReach, SilenceIsSuspect)
{
    TargetReach reach;
    reach.recordSent("i-1", start);
    EXPECT_FALSE(reach.isSuspect(start + milliseconds(500)));
    EXPECT_TRUE(reach.isSuspect(start + milliseconds(700)));
    reach.recordSent("i-2", start + milliseconds(100));
    EXPECT_TRUE(reach.isSuspect(start + milliseconds(400)));
    reach.recordReceived(start);
    EXPECT_FALSE(reach.isSuspect(start + milliseconds(2000)));
}

TEST(RelayPeers, IsolatedAndAvoidedNodesAreLeftOut)
{
    Random random { 20261207 };
    RelayPeers peers { {} };
    peers.setPeers({ { "node-1", "127.0.0.1:1", "" }, { "node-2", "127.0.0.1:2", "" }, { "node-3", "", "" } });
    peers.setIsolated({ "node-1" });
    ASSERT_TRUE(peers.acquire({}, start, random));
    EXPECT_EQ(peers.acquire({}, start, random)->id, "node-2");
    EXPECT_FALSE(peers.acquire({ "node-2" }, start, random));
    peers.avoid("node-2", start);
    EXPECT_FALSE(peers.acquire({}, start + milliseconds(999), random));
    EXPECT_TRUE(peers.acquire({}, start + milliseconds(1000), random));
}

// Nodes that lose their targets together must not all use one node.
TEST(RelayPeers, RequestsAreDividedByProcessorShare)
{
    Random random { 20261207 };
    RelayPeers peers { {} };
    peers.setPeers({ { "node-1", "127.0.0.1:1", "", 0.25 }, { "node-2", "127.0.0.1:2", "", 1 } });
    std::map<std::string, int> counts;
    for (int i = 0; i < 500; ++i)
        ++counts[peers.acquire({}, start, random)->id];
    EXPECT_GT(counts["node-1"], 50);
    EXPECT_GT(counts["node-2"], 2 * counts["node-1"]);
}

} // namespace cyclamenstair

#include <Cyclamenstair/Peering/UsageExchange.h>

#include <gtest/gtest.h>

using namespace cyclamenstair;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

UsageShare share(const std::string& node, double offered, uint32_t nodeCount = 1, bool isCollected = false)
{
    return { node, { { "t", { offered, offered / 2 } } }, nodeCount, isCollected, 1 };
}

} // namespace

// Guards against usage that is counted twice on its way through two collectors, and against a wrong number of nodes.
TEST(UsageExchange, SumsEachNodeOnce)
{
    UsageExchange exchange("c1");
    exchange.add(share("n1", 10), start);
    exchange.add(share("n2", 20), start);
    exchange.add(share("c2", 100, 5, true), start);
    const TeamUsages own { { "t", { 1, 1 } } };
    const auto group = exchange.groupShare(own);
    EXPECT_EQ(group.usage.at("t").offered, 31);
    EXPECT_EQ(group.nodeCount, 3U);
    const auto summary = exchange.summary(own);
    EXPECT_EQ(summary.usage.at("t").offered, 131);
    EXPECT_EQ(summary.nodeCount, 8U);
    const auto remote = exchange.remoteUsage(false);
    EXPECT_EQ(remote.usage.at("t").offered, 130);
    EXPECT_EQ(remote.knownNodes, 8U);
}

// Guards against a node that counts its own usage as that of others, and against shares of nodes that are gone.
TEST(UsageExchange, SubtractsOwnUsageAndForgetsOldShares)
{
    UsageExchange exchange("n1");
    exchange.add(UsageSummary { "c1", { { "t", { 30, 20 } } }, 8, 1 }, { { "t", { 10, 25 } } }, start);
    EXPECT_EQ(exchange.remoteUsage(true).usage.at("t"), (TeamUsage { 20, 0 }));
    EXPECT_EQ(exchange.remoteUsage(true).knownNodes, 8U);
    exchange.add(share("n2", 10), start);
    exchange.expire(start + UsageExchange::shareLifetime);
    EXPECT_EQ(exchange.remoteUsage(true).knownNodes, 1U);
    EXPECT_TRUE(exchange.remoteUsage(false).usage.empty());
}

#include "NodeProcess.h"

#include <StandIns/LinkStandIn.h>

#include <array>
#include <csignal>

namespace cyclamenstair {

namespace {

    /// How a store is away.
    enum class Outage : uint8_t {
        Refused, ///< Connections are refused.
        Silent, ///< Connections and calls get no reply.
        Unavailable, ///< Calls get status 503.
    };

} // namespace

template <> struct EnumNames<Outage> {
    static constexpr auto table = std::to_array<EnumName<Outage>>({
        { Outage::Refused, "refused" },
        { Outage::Silent, "silent" },
        { Outage::Unavailable, "unavailable" },
    });
};

namespace {

    /// Between the return of the store and a success of the readiness probe: the end of a call (1 s), the longest pause
    /// before the next one (0.8 s), its answer (1 s), and what the users' rules leave beyond that, 3 s in all; a second
    /// more until a probe sees it.
    constexpr auto maxRegainTime = milliseconds(4000);

    /// Two nodes as processes, each the seed of the other, behind one link to the store.
    class StoreAwayStart : public EntryNodeTest, public ::testing::WithParamInterface<Outage> {
    protected:
        void cutStore(bool isAway)
        {
            switch (GetParam()) {
            case Outage::Refused:
                link.setMode(isAway ? LinkMode::Reset : LinkMode::Pass);
                break;
            case Outage::Silent:
                link.setMode(isAway ? LinkMode::Hang : LinkMode::Pass);
                break;
            case Outage::Unavailable:
                store.setDown(isAway);
                break;
            }
        }

        void startBoth()
        {
            nodes[0].start(nodes[1].peerAddress());
            nodes[1].start(nodes[0].peerAddress());
        }

        uint32_t probe(const NodeProcess& node)
        {
            return get(node.probeAddress(), "/cyclamenstair/readiness").head.status;
        }

        /// Expects that both nodes say that they are not ready for some time while the store is away, and are ready and
        /// serve soon after it is back.
        void expectServiceOnceStoreIsBack()
        {
            for (auto& node : nodes)
                ASSERT_TRUE(eventually([&] { return probe(node) == 503; })) << node.log();
            std::this_thread::sleep_for(awayTime);
            for (auto& node : nodes) {
                EXPECT_FALSE(node.process().hasExited()) << node.log();
                EXPECT_EQ(probe(node), 503U);
            }
            cutStore(false);
            const auto backAt = monotonicNow();
            for (auto& node : nodes) {
                ASSERT_TRUE(eventually([&] { return probe(node) == 200; })) << node.log();
                EXPECT_LE(monotonicNow() - backAt, maxRegainTime);
                callerAddress = node.callerAddress();
                EXPECT_EQ(request("/safe/x", "r-" + std::to_string(++requestCount)).head.status, 200U);
            }
        }

        static constexpr auto awayTime = std::chrono::seconds(3);
        LinkStandIn link { store.address() };
        std::array<NodeProcess, 2> nodes { NodeProcess { "node-1", link.address() },
            NodeProcess { "node-2", link.address() } };
        int requestCount { 0 };
    };

    std::string outageName(const ::testing::TestParamInfo<Outage>& info) { return std::string(nameOf(info.param)); }

} // namespace

// Guards against processes that end, or stay without readiness, because the store was away when they started: at the
// first start of all nodes, and after all of them were killed, so that no peer has a snapshot.
TEST_P(StoreAwayStart, NodesServeSoonAfterTheStoreIsBack)
{
    cutStore(true);
    startBoth();
    expectServiceOnceStoreIsBack();
    cutStore(true);
    startBoth();
    expectServiceOnceStoreIsBack();
    for (auto& node : nodes)
        node.process().sendSignal(SIGTERM);
    for (auto& node : nodes)
        EXPECT_EQ(node.process().wait(20000), 0) << node.log();
}

// Guards against a process that, started again while the store is away, does not serve although another node is there
// to learn from.
TEST_P(StoreAwayStart, RestartedNodeLearnsFromItsPeer)
{
    startBoth();
    for (auto& node : nodes)
        ASSERT_TRUE(eventually([&] { return probe(node) == 200; })) << node.log();
    cutStore(true);
    nodes[1].start(nodes[0].peerAddress());
    ASSERT_TRUE(eventually([&] { return probe(nodes[1]) == 200; })) << nodes[1].log();
    callerAddress = nodes[1].callerAddress();
    EXPECT_EQ(request("/safe/x", "r").head.status, 200U);
}

// Guards against a process that, started before the platform knew the seeds, goes on without them once its settings
// hold them: while the store is away, the seeds are all that it can learn from.
TEST_P(StoreAwayStart, NodeUsesSeedsOfReloadedSettings)
{
    nodes[0].start();
    ASSERT_TRUE(eventually([&] { return probe(nodes[0]) == 200; })) << nodes[0].log();
    cutStore(true);
    nodes[1].start();
    ASSERT_TRUE(eventually([&] { return probe(nodes[1]) == 503; })) << nodes[1].log();
    nodes[1].reload(nodes[0].peerAddress());
    ASSERT_TRUE(eventually([&] { return probe(nodes[1]) == 200; })) << nodes[1].log();
    callerAddress = nodes[1].callerAddress();
    EXPECT_EQ(request("/safe/x", "r").head.status, 200U);
}

INSTANTIATE_TEST_SUITE_P(
    Stores, StoreAwayStart, ::testing::Values(Outage::Refused, Outage::Silent, Outage::Unavailable), outageName);

} // namespace cyclamenstair

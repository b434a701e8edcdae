#include <Cyclamenstair/Peering/ExchangeTopology.h>
#include <Cyclamenstair/Peering/LoadExchange.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cyclamenstair;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };
constexpr Duration round = milliseconds(200);
constexpr int domainCount = 3;

/// A fleet whose nodes exchange loads without I/O. Messages arrive at once and can be lost.
class ExchangeFleet {
public:
    explicit ExchangeFleet(int nodeCount)
    {
        for (int i = 0; i < nodeCount; ++i)
            m_nodes["node-" + std::to_string(i)] = { "address", "domain-" + std::to_string(i % domainCount), 1 };
        for (const auto& [id, node] : m_nodes) {
            auto& member = m_members.try_emplace(id, id).first->second;
            member.topology.setNodes(m_nodes, node);
        }
    }

    struct Member {
        explicit Member(const std::string& id)
            : topology(id)
            , exchange(id)
        {
        }

        ExchangeTopology topology;
        LoadExchange exchange;
        TargetWorkloads own;
        TargetWorkloads lastShare;
        bool isDown { false };
        size_t receivedMessages { 0 };
    };

    /// Sends the shares of one round. Each message is lost if `isLost` returns true for its sender and receiver.
    template <typename IsLost> void play(IsLost&& isLost)
    {
        m_now += round;
        for (auto& [id, member] : m_members) {
            if (member.isDown)
                continue;
            member.exchange.expire(m_now);
            member.topology.update(isCollecting(member), m_now);
            if (isCollecting(member)) {
                std::set<std::string> collectors;
                for (const auto& candidate : member.topology.candidates())
                    collectors.insert(candidate);
                for (const auto& collector : member.exchange.collectors())
                    collectors.insert(collector);
                for (const auto& collector : collectors)
                    deliver(id, collector, member.exchange.groupShare(member.own), isLost);
                for (const auto& receiver : member.exchange.members())
                    deliver(id, receiver, member.exchange.summary(member.own), isLost);
            } else {
                member.lastShare = member.own;
                deliver(id, member.topology.collector(), LoadShare { id, member.own, false }, isLost);
            }
        }
    }

    /// Returns the load of a target as the node sees it: its own and that of the others.
    uint32_t seenLoad(const std::string& id, const std::string& target)
    {
        auto& member = m_members.at(id);
        member.exchange.expire(m_now);
        auto loads = member.exchange.remoteLoads(!isCollecting(member));
        return loads[target].inFlight + member.own[target].inFlight;
    }

    std::map<std::string, Member>& members() { return m_members; }

private:
    static bool isCollecting(const Member& member)
    {
        return member.topology.isOwnCollector() || member.exchange.hasMembers();
    }

    template <typename Message, typename IsLost>
    void deliver(const std::string& sender, const std::string& receiver, const Message& message, IsLost&& isLost)
    {
        auto& member = m_members.at(receiver);
        if (member.isDown || isLost(sender, receiver))
            return;
        ++member.receivedMessages;
        if constexpr (std::is_same_v<Message, LoadSummary>) {
            member.topology.markSummaryReceived(message.node, m_now);
            if (message.node == member.topology.collector())
                member.exchange.add(message, member.lastShare, m_now);
        } else {
            member.exchange.add(message, m_now);
        }
    }

    PeerNodes m_nodes;
    std::map<std::string, Member> m_members;
    TimePoint m_now { start };
};

const auto nothingLost = [](const std::string&, const std::string&) { return false; };

} // namespace

// Guards against a fleet in which some nodes count loads twice or miss them.
TEST(LoadExchange, EveryNodeSeesTheLoadOfAllNodes)
{
    ExchangeFleet fleet(300);
    for (auto& [id, member] : fleet.members())
        member.own["i-1"] = { 2, 100 };
    for (int i = 0; i < 10; ++i)
        fleet.play(nothingLost);
    for (const auto& [id, member] : fleet.members())
        EXPECT_EQ(fleet.seenLoad(id, "i-1"), 600U) << id;
}

// Guards against messages that grow with the square of the number of nodes.
TEST(LoadExchange, MessagesPerNodeStayBounded)
{
    for (const int count : { 60, 300 }) {
        ExchangeFleet fleet(count);
        constexpr size_t rounds = 20;
        for (size_t i = 0; i < rounds; ++i)
            fleet.play(nothingLost);
        size_t total = 0;
        for (const auto& [id, member] : fleet.members())
            total += member.receivedMessages;
        // A share and a summary for each node, and the shares between the collectors of the domains.
        constexpr size_t collectorMessages = size_t { 2 } * domainCount * domainCount;
        EXPECT_LE(total / rounds, 2 * static_cast<size_t>(count) + collectorMessages) << count;
    }
}

// Guards against loads that are lost or doubled for good after collectors fail and return and messages are lost: when
// the faults end, all nodes agree on the sum again, and no node ever sees more than each load twice.
RC_GTEST_PROP(LoadExchangeProperties, NodesAgreeAfterFaults, ())
{
    ExchangeFleet fleet(*rc::gen::inRange(20, 60));
    std::vector<std::string> ids;
    for (auto& [id, member] : fleet.members()) {
        member.own["i-1"] = { 1, 0 };
        ids.push_back(id);
    }
    const auto lossPercent = *rc::gen::inRange(0, 50);
    const auto faultRounds = *rc::gen::inRange(5, 40);
    for (int i = 0; i < faultRounds; ++i) {
        auto& member = fleet.members().at(*rc::gen::elementOf(ids));
        member.isDown = *rc::gen::arbitrary<bool>();
        const auto seed = *rc::gen::arbitrary<uint32_t>();
        uint32_t count = 0;
        fleet.play([&](const std::string&, const std::string&) {
            count = count * 1664525U + 1013904223U + seed;
            return (count >> 16) % 100 < static_cast<uint32_t>(lossPercent);
        });
        for (const auto& id : ids)
            RC_ASSERT(fleet.seenLoad(id, "i-1") <= 2 * ids.size());
    }
    for (auto& [id, member] : fleet.members())
        member.isDown = false;
    // Longer than a collector that timed out is avoided and than its old shares count.
    constexpr int settleRounds = 60;
    for (int i = 0; i < settleRounds; ++i)
        fleet.play(nothingLost);
    for (const auto& id : ids)
        RC_ASSERT(fleet.seenLoad(id, "i-1") == ids.size());
}

// Guards against demand of a group that is counted twice at the lease holder, which gets the shares of all collectors.
TEST(LoadExchange, GroupDemandContainsOnlyMembers)
{
    LoadExchange exchange("node-1");
    const ArtifactKey artifact { "drafting", "draft", "" };
    exchange.add(LoadShare { "node-2", {}, false }, start);
    exchange.add(DemandShare { "node-2", { { artifact, { 1, 2, 0 } } }, {} }, start);
    exchange.add(LoadShare { "node-3", {}, true }, start);
    exchange.add(DemandShare { "node-3", { { artifact, { 4, 8, 0 } } }, {} }, start);
    const DemandShare own { "node-1", { { artifact, { 0.5, 1, 0 } } }, {} };
    EXPECT_EQ(exchange.groupDemand(own).demands.at(artifact).inProgress, 3U);
    EXPECT_EQ(exchange.totalDemand(own).demands.at(artifact).inProgress, 11U);
    exchange.expire(start + milliseconds(2600));
    EXPECT_EQ(exchange.totalDemand(own).demands.at(artifact).inProgress, 1U);
}

// Guards against the load of a node that is gone and still counts.
TEST(LoadExchange, OldSharesAreForgotten)
{
    LoadExchange exchange("node-1");
    exchange.add(LoadShare { "node-2", { { "i-1", { 3, 0 } } }, false }, start);
    EXPECT_EQ(exchange.remoteLoads(false).at("i-1").inFlight, 3U);
    exchange.add(LoadSummary { "node-3", { { "i-1", { 5, 700 } } } }, { { "i-1", { 1, 200 } } }, start);
    EXPECT_EQ(exchange.remoteLoads(true).at("i-1"), (TargetWorkload { 4, 500 }));
    exchange.expire(start + milliseconds(2000));
    EXPECT_TRUE(exchange.remoteLoads(false).empty());
    EXPECT_TRUE(exchange.remoteLoads(true).empty());
}

// Guards against requests that are passed on to a node that has lost its targets as well.
TEST(LoadExchange, IsolatedNodesAreKnownThroughCollectors)
{
    LoadExchange collector("node-1");
    collector.setIsolated(true);
    collector.add(LoadShare { "node-2", {}, false, { "node-2" } }, start);
    collector.add(LoadShare { "node-3", {}, true, { "node-3", "node-4" } }, start);
    EXPECT_EQ(collector.groupShare({}).isolatedNodes, (std::set<std::string> { "node-1", "node-2" }));
    EXPECT_EQ(collector.isolatedNodes(false), (std::set<std::string> { "node-2", "node-3", "node-4" }));

    LoadExchange member("node-2");
    member.add(collector.summary({}), {}, start);
    EXPECT_EQ(member.isolatedNodes(true), (std::set<std::string> { "node-1", "node-3", "node-4" }));
    member.expire(start + milliseconds(2000));
    EXPECT_TRUE(member.isolatedNodes(true).empty());
}

#include <Cyclamenstair/Peering/ExchangeTopology.h>

#include <gtest/gtest.h>

using namespace cyclamenstair;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };
constexpr int domainCount = 6;

/// Returns nodes spread over six failure domains, of which the first three of each have half a core.
PeerNodes nodes(int count)
{
    PeerNodes nodes;
    for (int i = 0; i < count; ++i) {
        const double cpuShare = i < 3 * domainCount ? 0.5 : 0.12;
        nodes["node-" + std::to_string(i)]
            = { "10.0.0." + std::to_string(i) + ":1", "domain-" + std::to_string(i % domainCount), cpuShare };
    }
    return nodes;
}

ExchangeTopology topologyOf(const std::string& id, const PeerNodes& nodes, TimePoint now = start)
{
    ExchangeTopology topology(id);
    topology.setNodes(nodes, nodes.at(id));
    topology.update(false, now);
    return topology;
}

} // namespace

// Guards against a small fleet that waits for a collector's summary instead of exchanging loads directly.
TEST(ExchangeTopology, FewNodesExchangeDirectly)
{
    const auto few = nodes(16);
    const auto topology = topologyOf("node-3", few);
    EXPECT_TRUE(topology.isDirect());
    EXPECT_EQ(topology.peers(false, "").size(), 15U);
    EXPECT_FALSE(topologyOf("node-3", nodes(17)).isDirect());
}

// Guards against nodes of one failure domain that choose different collectors, and against a collector with little
// processor time.
TEST(ExchangeTopology, NodesOfADomainShareTheStrongestCollector)
{
    const auto fleet = nodes(300);
    std::map<std::string, std::set<std::string>> collectorsByDomain;
    for (const auto& [id, node] : fleet)
        collectorsByDomain[node.failureDomain].insert(topologyOf(id, fleet).collector());
    EXPECT_EQ(collectorsByDomain.size(), size_t { domainCount });
    for (const auto& [domain, collectors] : collectorsByDomain) {
        ASSERT_EQ(collectors.size(), 1U);
        EXPECT_EQ(fleet.at(*collectors.begin()).failureDomain, domain);
        EXPECT_EQ(fleet.at(*collectors.begin()).cpuShare, 0.5);
    }
}

// Guards against connections that grow with the square of the number of nodes.
TEST(ExchangeTopology, ConnectionsGrowWithTheNumberOfNodes)
{
    for (const int count : { 100, 300, 1400 }) {
        const auto fleet = nodes(count);
        size_t connections = 0;
        for (const auto& [id, node] : fleet) {
            const auto topology = topologyOf(id, fleet);
            connections += topology.peers(topology.isOwnCollector(), "node-50").size();
        }
        // One to the collector, and some of each collector and of the lease holder to the other candidates.
        constexpr size_t collectorConnections = size_t { domainCount + 1 } * (2 * domainCount + 1);
        EXPECT_LE(connections, static_cast<size_t>(count) + collectorConnections) << count;
    }
}

// Guards against a group that stays without loads after its collector was killed, frozen or cut off, and against one
// that never returns to the collector that the other domains know first.
TEST(ExchangeTopology, SilentCollectorIsReplacedForAWhile)
{
    const auto fleet = nodes(300);
    auto topology = topologyOf("node-299", fleet);
    const auto first = topology.collector();
    topology.markSummaryReceived(first, start + milliseconds(1000));
    topology.update(false, start + milliseconds(2400));
    EXPECT_EQ(topology.collector(), first);
    topology.update(false, start + milliseconds(2600));
    const auto second = topology.collector();
    EXPECT_NE(second, first);
    EXPECT_EQ(fleet.at(second).cpuShare, 0.5);
    const auto candidates = topology.candidates();
    EXPECT_NE(std::find(candidates.begin(), candidates.end(), second), candidates.end());
    for (auto time = start + milliseconds(2600); time < start + milliseconds(8000); time += milliseconds(100)) {
        topology.markSummaryReceived(topology.collector(), time);
        topology.update(false, time);
    }
    EXPECT_EQ(topology.collector(), first);
}

// Guards against a node that drops out of the exchange while its own entry is missing in the store.
TEST(ExchangeTopology, NodeWithoutEntryTakesPart)
{
    auto fleet = nodes(40);
    const auto self = fleet.at("node-39");
    fleet.erase("node-39");
    ExchangeTopology topology("node-39");
    topology.setNodes(fleet, self);
    topology.update(false, start);
    EXPECT_FALSE(topology.isOwnCollector());
    EXPECT_EQ(fleet.at(topology.collector()).failureDomain, self.failureDomain);
}

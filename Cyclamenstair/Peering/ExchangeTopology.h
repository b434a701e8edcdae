#pragma once

#include <Cyclamenstair/Codec/NodeEntryCodec.h>
#include <Cyclamenstair/Core/Time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Nodes by id.
using PeerNodes = std::map<std::string, PeerNode>;

/// Settings of an ExchangeTopology.
struct ExchangeTopologySettings {
    /// Number of nodes up to which each node sends its load to each other one. The number of messages grows with the
    /// square of it.
    size_t maxDirectNodes { 16 };
    /// Number of nodes of each failure domain that other collectors send their loads to. The second one takes over when
    /// the first one fails.
    size_t candidatesPerDomain { 2 };
    /// Time without a summary of the collector after which a node uses the next candidate.
    Duration collectorTimeout { milliseconds(1500) };
    /// Time for which a collector that timed out is not used.
    Duration collectorBackoff { milliseconds(5000) };
};

/// Decides to which nodes a node sends its load. Does no I/O; belongs to one thread.
///
/// Few nodes exchange their loads directly. In a large fleet the nodes of a failure domain form a group. Each sends its
/// load to one collector of the group, which exchanges the group's sum with the other collectors and sends the fleet's
/// sum back, so the number of messages is proportional to the number of nodes. All nodes rank the candidates of a
/// domain alike: by processor share, then by a hash of the id.
class ExchangeTopology {
public:
    explicit ExchangeTopology(std::string nodeId, ExchangeTopologySettings settings = {});

    /// Sets the registered nodes. This node is added if it is absent.
    void setNodes(PeerNodes nodes, const PeerNode& self);

    /// Chooses the next candidate as collector if the current one has timed out. `isCollecting` is true if this node
    /// collects loads of others; it then gets no summary from its collector.
    void update(bool isCollecting, TimePoint now);

    /// Records a summary from `collector`.
    void markSummaryReceived(const std::string& collector, TimePoint now);

    /// Returns whether the nodes exchange their loads directly.
    bool isDirect() const { return m_nodes.size() <= m_settings.maxDirectNodes; }

    /// Returns the id of this node's collector, which can be the node itself.
    const std::string& collector() const { return m_collector; }
    bool isOwnCollector() const { return m_collector == m_nodeId; }

    /// Returns the ids of the other collectors and of those that may replace them, over all failure domains.
    std::vector<std::string> candidates() const;

    size_t domainCount() const { return m_rankings.size(); }

    /// Returns the ids of the nodes that this node connects to. `isCollecting` is true if it collects loads of others;
    /// `leaseHolder` is the id of the order lease's holder.
    std::set<std::string> peers(bool isCollecting, const std::string& leaseHolder) const;

    const PeerNodes& nodes() const { return m_nodes; }

private:
    void chooseCollector(TimePoint now);

    std::string m_nodeId;
    ExchangeTopologySettings m_settings;
    PeerNodes m_nodes;
    std::map<std::string, std::vector<std::string>> m_rankings; ///< Ids by failure domain, best collector first.
    std::string m_collector;
    TimePoint m_collectorSeenAt; ///< Time of the collector's last summary, or of its choice.
    std::map<std::string, TimePoint> m_avoidedUntil; ///< By id of a collector that timed out.
};

} // namespace cyclamenstair

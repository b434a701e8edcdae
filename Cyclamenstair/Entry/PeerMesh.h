#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Entry/StoreRelay.h>
#include <Cyclamenstair/Http/TcpAcceptor.h>
#include <Cyclamenstair/Peering/ExchangeTopology.h>
#include <Cyclamenstair/Peering/FrameChannel.h>
#include <Cyclamenstair/Peering/LoadExchange.h>
#include <Cyclamenstair/Peering/PeerContacts.h>
#include <Cyclamenstair/Peering/UsageExchange.h>

#include <set>

namespace cyclamenstair {

/// Connections to other nodes. Exchanges the loads of all nodes along an ExchangeTopology, and sends a snapshot of the
/// store's records to a node that starts while the store is unavailable. Belongs to one event loop.
class PeerMesh {
public:
    /// Creates this node's snapshot for a peer, and applies a snapshot received from one.
    struct SnapshotHandlers {
        std::function<Snapshot()> create;
        std::function<void(const Snapshot&)> apply;
    };

    /// Binds the address of `self`. With an empty address the mesh connects to no node. Returns an error if the address
    /// is malformed or cannot be bound. Connections are refused until listen().
    static Result<std::unique_ptr<PeerMesh>> create(boost::asio::io_context& context, EntryState& state,
        const PeerNode& self, const std::vector<std::string>& seeds, SnapshotHandlers snapshotHandlers,
        StoreRelay& relay);

    /// Queues connections until start(). Returns an error if another process listens at the address.
    std::optional<Error> listen() { return m_acceptor ? m_acceptor->listen() : std::nullopt; }

    void start();

    /// Sets the addresses of the nodes to contact until the store names them.
    void setSeeds(const std::vector<std::string>& seeds) { m_seeds = { seeds.begin(), seeds.end() }; }

    /// Sets the nodes as registered in the store.
    void setNodes(PeerNodes nodes);

    /// Sets the id of the node that holds the order lease, which receives the demand of all nodes.
    void setLeaseHolder(std::string leaseHolder) { m_leaseHolder = std::move(leaseHolder); }

    /// Sends a notice of what a target holds to the other nodes, after the load time of an adapter.
    void announce(ResidencyNotice notice);

    /// Sends origins of streams to the other nodes.
    void shareStreamOrigins(std::vector<StreamOrigin> origins);

    /// Returns the last time at which this node knew of the software versions at which the other nodes begin streams:
    /// when it had heard from so many that, with itself, they are more than half. On the clock of suspendAwareNow().
    /// Called at a regular interval.
    TimePoint inStepAt();

    /// Returns the number of registered nodes.
    size_t nodeCount() const { return m_topology.nodes().size(); }

    /// Returns whether the nodes exchange their loads through collectors.
    bool isLargeFleet() const { return !m_topology.isDirect(); }

    /// Returns the number of nodes that compete for a free order lease: those that watch the store themselves.
    size_t leaseCompetitorCount() const;

    /// Returns the demand and the requests in flight by target and model, at this node and at all nodes whose share is
    /// current. Complete only at the holder of the order lease.
    DemandShare totalDemand() const;

private:
    /// Interval at which a changed load is sent. Requests arrive every few milliseconds over all nodes, and traffic
    /// between failure domains is billed, so changes are batched.
    static constexpr Duration loadShareInterval = milliseconds(100);
    /// Interval at which the nodes of a large fleet send shares and summaries. A node gets few requests there, and a
    /// collector has a connection to each node of its failure domain.
    static constexpr Duration groupShareInterval = milliseconds(200);

    struct Link {
        std::shared_ptr<FrameChannel> channel;
        TimePoint lastConnectAttemptAt;
        bool isSnapshotRequested { false };
        TimePoint snapshotRequestedAt;
        bool areVersionsSent { false };
    };
    PeerMesh(boost::asio::io_context& context, EntryState& state, PeerNode self, const std::vector<std::string>& seeds,
        SnapshotHandlers snapshotHandlers, StoreRelay& relay, std::unique_ptr<TcpAcceptor> acceptor);
    void addChannel(boost::asio::ip::tcp::socket socket);
    void tick();
    void updateLinks(TimePoint now);
    void openLink(const std::string& address, Link& link);
    void sendShares(TimePoint now);
    void sendToAll(const TargetWorkloads& own);
    /// Sends this node's share to its collector.
    void sendToCollector(const TargetWorkloads& own);
    /// Sends the group's share to the other collectors, and the fleet's sum to the group.
    void sendAsCollector(const TargetWorkloads& own);
    /// Returns the ids of the nodes that get this collector's sums.
    std::set<std::string> otherCollectors() const;
    /// Sends the usage of the teams' allotments along the paths of the loads, if the catalog has teams.
    void sendUsage(TimePoint now);
    void sendUsageAsCollector(const TeamUsages& own);
    /// Passes the usage of the other nodes to the limiter.
    void applyRemoteUsage();
    int64_t catalogVersion() const;
    /// Asks a node for its catalog if it has had a newer one than this node for a while.
    void followCatalog(const std::shared_ptr<FrameChannel>& sender, int64_t version);
    /// Passes the loads of the other nodes to the target registry.
    void applyRemoteLoads(TimePoint now);
    DemandShare ownDemand() const;
    /// Returns whether other nodes use this node as their collector.
    bool isCollecting() const;
    /// Chooses between watching the store and following this node's collector.
    void updateRelay(TimePoint now);
    void requestSnapshot(TimePoint now);
    void onFrame(const std::shared_ptr<FrameChannel>& sender, const std::string& content);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const LoadShare& share);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const DemandShare& share);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const LoadSummary& summary);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const StoreSyncRequest& request);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const StoreUpdate& update);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const SnapshotRequest& request);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const Snapshot& snapshot);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const ResidencyNotice& notice);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const QuarantineShare& share);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const UsageShare& share);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const UsageSummary& summary);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const StreamOriginShare& share);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const UnknownMessage& message);
    void sendDueNotices(TimePoint now);
    /// Sends what this node knows of prompt parts that make targets fail, if it changed or was not sent for a while.
    void sendQuarantine(TimePoint now);
    /// Sends the versions of the targets' software to the nodes that do not have them from this node yet.
    void sendVersions();
    /// Sends over all open links, and to the nodes that use this node as their collector.
    void sendToNeighbours(const std::string& frame);
    void sendToNode(const std::string& node, const std::string& frame);
    /// Sends to the nodes that use this node as their collector, except over `excluded`.
    void sendToMembers(const std::string& frame, const std::shared_ptr<FrameChannel>& excluded = nullptr);

    boost::asio::io_context* m_context;
    EntryState* m_state;
    PeerNode m_self; ///< Its address is empty if the mesh is disabled.
    std::set<std::string> m_seeds;
    SnapshotHandlers m_snapshotHandlers;
    std::unique_ptr<TcpAcceptor> m_acceptor; ///< Null if the mesh is disabled.
    boost::asio::steady_timer m_timer;
    StoreRelay* m_relay;
    ExchangeTopology m_topology;
    LoadExchange m_exchange;
    UsageExchange m_usageExchange;
    TimePoint m_lastUsageSentAt;
    TeamUsages m_lastUsage; ///< This node's usage as last sent.
    std::optional<TimePoint> m_catalogBehindSince; ///< When another node was first seen with a newer catalog.
    bool m_areNodesKnown { false };
    std::map<std::string, Link> m_links; ///< By address.
    std::set<std::shared_ptr<FrameChannel>> m_acceptedChannels;
    std::map<std::string, std::weak_ptr<FrameChannel>> m_senders; ///< Channels of received shares, by node id.
    std::string m_leaseHolder;
    std::map<std::string, std::pair<TimePoint, ResidencyNotice>>
        m_pendingNotices; ///< By target, with the time of the announcement.
    TargetWorkloads m_lastShare; ///< This node's loads as last sent.
    bool m_wasIsolated { false }; ///< As last sent.
    std::string m_lastCollector; ///< Collector to which they were sent; empty if sent to all nodes.
    TimePoint m_lastShareSentAt;
    uint64_t m_sentQuarantineVersion { 0 };
    TimePoint m_lastQuarantineSentAt;
    std::set<ServiceVersion> m_sentVersions;
    PeerContacts m_contacts;
    TimePoint m_startedAt;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Codec/EntryMessages.h>
#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Peering/FrameChannel.h>

#include <set>

namespace cyclamenstair {

/// Connections to all other nodes. Exchanges the load of each node, and sends a snapshot of the store's records to a
/// node that starts while the store is unavailable. Belongs to one event loop.
class PeerMesh {
public:
    /// Creates this node's snapshot for a peer, and applies a snapshot received from one.
    struct SnapshotHandlers {
        std::function<Snapshot()> create;
        std::function<void(const Snapshot&)> apply;
    };

    /// Binds the listen address. With an empty address the mesh connects to no node. Returns an error if the address is
    /// malformed or cannot be bound.
    static Result<std::unique_ptr<PeerMesh>> create(boost::asio::io_context& context, EntryState& state,
        const std::string& listenAddress, const std::vector<std::string>& seeds, SnapshotHandlers snapshotHandlers);

    void start();

    /// Sets the nodes' addresses as registered in the store, by node id.
    void setNodeAddresses(std::map<std::string, std::string> addresses);

    /// Sets the id of the node that holds the order lease. Only that node receives this node's demand.
    void setLeaseHolder(std::string leaseHolder) { m_leaseHolder = std::move(leaseHolder); }

    /// Sends a notice of what a target holds to the other nodes, after the load time of an adapter.
    void announce(ResidencyNotice notice);

    /// Returns the total demand at this node and at all nodes with a current load share.
    std::map<ArtifactKey, ArtifactWorkload> demand() const;

    /// Returns the requests in flight by target and model, at this node and at all nodes with a current load share.
    InFlightByTargetAndModel modelRuns() const;

private:
    struct Link {
        std::shared_ptr<FrameChannel> channel;
        TimePoint lastConnectAttemptAt;
        bool isSnapshotRequested { false };
    };
    struct PeerLoad {
        std::map<ArtifactKey, ArtifactWorkload> demands;
        InFlightByTargetAndModel modelRuns;
        TimePoint receivedAt;
    };

    PeerMesh(boost::asio::io_context& context, EntryState& state, std::string address,
        const std::vector<std::string>& seeds, SnapshotHandlers snapshotHandlers,
        boost::asio::ip::tcp::acceptor acceptor);
    void accept();
    void tick();
    void updateLinks(TimePoint now);
    void openLink(const std::string& address, Link& link);
    void sendLoadShare(TimePoint now);
    void requestSnapshot();
    void onFrame(const std::shared_ptr<FrameChannel>& sender, const std::string& content);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const LoadShare& share);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const SnapshotRequest& request);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const Snapshot& snapshot);
    void handleMessage(const std::shared_ptr<FrameChannel>& sender, const ResidencyNotice& notice);
    void sendDueNotices(TimePoint now);
    void broadcast(const std::string& frame);
    bool isLeaseHolderAddress(const std::string& address) const;

    boost::asio::io_context* m_context;
    EntryState* m_state;
    std::string m_address; ///< Listen address of this node; empty if the mesh is disabled.
    std::set<std::string> m_seeds;
    SnapshotHandlers m_snapshotHandlers;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    std::map<std::string, std::string> m_nodeAddresses; ///< By node id.
    std::map<std::string, Link> m_links; ///< By address.
    std::set<std::shared_ptr<FrameChannel>> m_acceptedChannels;
    std::map<std::string, PeerLoad> m_peerLoads; ///< By node id.
    std::string m_leaseHolder;
    std::map<std::string, std::pair<TimePoint, ResidencyNotice>>
        m_pendingNotices; ///< By target, with the time of the announcement.
    LoadShare m_lastShare; ///< Last share sent, without the fields for the lease holder.
    TimePoint m_lastShareSentAt;
};

} // namespace cyclamenstair

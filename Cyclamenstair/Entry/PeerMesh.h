#pragma once

#include <Cyclamenstair/Codec/EntryMessages.h>
#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Peering/FrameChannel.h>

#include <set>

namespace cyclamenstair {

/// Connections to the other nodes: tells them what this node has in flight, takes what they have, and gives a node that
/// starts while the store is away what this one has read. Belongs to one event loop.
class PeerMesh {
public:
    /// What this node has read from the store, and what becomes of a peer's.
    struct SnapshotHandlers {
        std::function<Snapshot()> make;
        std::function<void(const Snapshot&)> take;
    };

    /// Binds the address; an empty one makes a mesh that talks to nobody. Returns an error if it cannot be bound.
    static Result<std::unique_ptr<PeerMesh>> create(boost::asio::io_context& context, EntryState& state,
        const std::string& listen, const std::vector<std::string>& seeds, SnapshotHandlers snapshots);

    void start();

    /// Takes the nodes' addresses as registered in the store, by node id.
    void setNodes(std::map<std::string, std::string> nodes);

    /// Takes the id of the node that holds the order lease; it alone gets this node's demand.
    void setHolder(std::string holder) { m_holder = std::move(holder); }

    /// Tells the other nodes, shortly after, what a target holds.
    void announce(ResidencyNotice notice);

    /// Returns the demand over all nodes that were heard of lately, this node included.
    std::map<ArtifactKey, ArtifactWorkload> demand() const;

    /// Returns the requests in flight by target and model, over all nodes that were heard of lately.
    InFlightByTargetAndModel modelRuns() const;

private:
    struct Link {
        std::shared_ptr<FrameChannel> channel;
        TimePoint triedAt;
        bool isSnapshotAsked { false };
    };
    struct PeerDemand {
        std::map<ArtifactKey, ArtifactWorkload> demands;
        InFlightByTargetAndModel modelRuns;
        TimePoint at;
    };

    PeerMesh(boost::asio::io_context& context, EntryState& state, std::string address,
        const std::vector<std::string>& seeds, SnapshotHandlers snapshots, boost::asio::ip::tcp::acceptor acceptor);
    void accept();
    void tick();
    void connectLinks(TimePoint now);
    void openLink(const std::string& address, Link& link);
    void shareLoad(TimePoint now);
    void askForSnapshot();
    void onFrame(const std::shared_ptr<FrameChannel>& from, const std::string& content);
    void on(const std::shared_ptr<FrameChannel>& from, const LoadShare& share);
    void on(const std::shared_ptr<FrameChannel>& from, const SnapshotRequest& request);
    void on(const std::shared_ptr<FrameChannel>& from, const Snapshot& snapshot);
    void on(const std::shared_ptr<FrameChannel>& from, const ResidencyNotice& notice);
    void sendNotices(TimePoint now);
    void broadcast(const std::string& frame);
    bool isHolderAt(const std::string& address) const;

    boost::asio::io_context* m_context;
    EntryState* m_state;
    std::string m_address; ///< Of this node.
    std::set<std::string> m_seeds;
    SnapshotHandlers m_snapshots;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    std::map<std::string, std::string> m_nodes; ///< Addresses by node id.
    std::map<std::string, Link> m_links; ///< By address.
    std::set<std::shared_ptr<FrameChannel>> m_accepted;
    std::map<std::string, PeerDemand> m_demands; ///< By node id.
    std::string m_holder;
    std::map<std::string, std::pair<TimePoint, ResidencyNotice>> m_notices; ///< By target, with the time of the order.
    LoadShare m_shared;
    TimePoint m_sharedAt;
};

} // namespace cyclamenstair

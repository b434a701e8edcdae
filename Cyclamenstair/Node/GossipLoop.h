#pragma once

#include <Cyclamenstair/Node/PeerDirectory.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Node/PlanExchange.h>
#include <Cyclamenstair/Node/TargetDirectory.h>
#include <Cyclamenstair/Transport/PeerServer.h>

#include <atomic>

namespace cyclamenstair {

/// Exchanges gossip entries with random peers, publishes this node's membership, and fetches plans announced by peers.
class GossipLoop {
public:
    GossipLoop(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey, GossipTable& gossip,
        PlanExchange& planExchange, TargetDirectory& directory, PeerDirectory& peers, AuditTrail& audit);

    /// Handles a request from another node and returns the response.
    PeerMessage handleRequest(const PeerMessage& request);

    /// Publishes this node as draining, because it is about to stop.
    void setDraining() { m_isDraining = true; }

    /// Returns the latest audit entries of this node and up to 32 live peers, newest first, and the ids of the peers
    /// that did not respond.
    std::pair<std::vector<AuditEntry>, std::vector<std::string>> collectAudit(size_t limit) const;

    void stop();

private:
    Duration step();
    Duration fetchAnnouncedPlans();

    /// Exchanges entries with several peers and fetches the plan with the highest revision.
    void joinFleet();

    void publishOwnMember(TimePoint now);

    /// Announces a plan revision of this node to a few random peers. Does not throw.
    void announceRevision(uint64_t revision);

    /// Exchanges entries with the peer. Returns its plan revision, or no value if the exchange failed.
    std::optional<uint64_t> exchangeWith(const std::string& address, bool shouldFetchPlan);
    uint64_t exchangeEntries(FrameSocket& socket);
    void fetchPlanFrom(const std::string& address);

    GossipResponseMessage handleGossip(const GossipRequestMessage& request);
    GossipPushAckMessage handlePush(const GossipPushMessage& request);
    AuditFetchResponseMessage handleAuditFetch(const AuditFetchRequestMessage& request) const;
    void applyEntries(const std::vector<GossipEntry>& entries);
    Result<FrameSocket> connect(const std::string& address, Duration timeout) const;

    schema::SettingsT m_settings;
    std::string m_incarnation;
    std::string m_fleetKey;
    uint64_t m_epoch; ///< Process start in microseconds, so that entries of a later process take precedence.
    GossipTable* m_gossip;
    PlanExchange* m_planExchange;
    TargetDirectory* m_directory;
    PeerDirectory* m_peers;
    AuditTrail* m_audit;
    std::atomic<bool> m_isDraining { false };
    bool m_hasJoinedFleet { false };
    std::string m_publishedMember;
    std::optional<TimePoint> m_lastHeartbeatAt;
    std::mutex m_pendingAnnouncementsMutex;
    std::map<std::string, uint64_t> m_pendingAnnouncements; ///< Announced revision by peer address.
    PeriodicThread m_fetchThread;
    PeriodicThread m_thread; // Last member: starts after and stops before all others.
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Node/PeerDirectory.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Node/PlanExchange.h>
#include <Cyclamenstair/Node/TargetDirectory.h>
#include <Cyclamenstair/Transport/PeerServer.h>

#include <atomic>

namespace cyclamenstair {

/// Exchanges gossip entries with random peers, announces this node, and fetches plans that peers announce.
class GossipLoop {
public:
    GossipLoop(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey, GossipTable& gossip,
        PlanExchange& plans, TargetDirectory& directory, PeerDirectory& peers, AuditTrail& audit);

    /// Answers a request of another node.
    PeerMessage answer(const PeerMessage& request);

    /// Announces that this node is about to stop.
    void setDraining() { m_isDraining = true; }

    /// Returns audit entries of all live peers and of this node, the latest first, and the peers that gave no answer.
    std::pair<std::vector<AuditEntry>, std::vector<std::string>> collectAudit(size_t limit) const;

    void stop();

private:
    Duration step();
    Duration fetchAnnounced();

    /// Asks several peers for entries and plan revisions and fetches the plan with the greatest one.
    void join();

    void announceSelf(TimePoint now);

    /// Tells a few random peers that this node has the revision; never throws.
    void announceRevision(uint64_t revision);

    /// Exchanges entries with the peer; returns the revision of its plan, or no value if the exchange failed.
    std::optional<uint64_t> exchangeWith(const std::string& address, bool fetchesPlan);
    uint64_t exchangeOver(FrameSocket& socket);
    void fetchPlanFrom(const std::string& address);

    GossipResponseMessage answerGossip(const GossipRequestMessage& request);
    GossipPushAckMessage answerPush(const GossipPushMessage& request);
    AuditFetchResponseMessage answerAudit(const AuditFetchRequestMessage& request) const;
    void applyEntries(const std::vector<GossipEntry>& entries);
    Result<FrameSocket> connect(const std::string& address, Duration limit) const;

    schema::SettingsT m_settings;
    std::string m_incarnation;
    std::string m_fleetKey;
    uint64_t m_epoch; ///< Start time of this process, which orders its entries after those of earlier ones.
    GossipTable* m_gossip;
    PlanExchange* m_plans;
    TargetDirectory* m_directory;
    PeerDirectory* m_peers;
    AuditTrail* m_audit;
    std::atomic<bool> m_isDraining { false };
    bool m_hasJoined { false };
    std::string m_announcedSelf;
    std::optional<TimePoint> m_lastBeat;
    std::mutex m_announcedMutex;
    std::map<std::string, uint64_t> m_announced; ///< Revisions that peers announced, by address.
    PeriodicThread m_fetchThread;
    PeriodicThread m_thread; // Last, so that the threads start after and end before everything else.
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Node/TargetDirectory.h>
#include <Cyclamenstair/Plan/PlanRegister.h>
#include <Cyclamenstair/Transport/PeerServer.h>

#include <atomic>

namespace cyclamenstair {

/// Exchanges gossip entries with random peers, announces this node, and fetches newer plans from peers.
class GossipLoop {
public:
    GossipLoop(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey, GossipTable& gossip,
        PlanRegister& plans, TargetDirectory& directory);

    /// Answers a request of another node.
    PeerMessage answer(const PeerMessage& request);

    /// Announces that this node is about to stop.
    void setDraining() { m_isDraining = true; }

    void stop();

private:
    Duration step();
    void announceSelf();
    std::vector<std::string> peerAddresses() const;
    void exchangeWith(const std::string& address);
    void fetchPlanFrom(FrameSocket& socket);
    void applyEntries(const std::vector<GossipEntry>& entries);

    schema::SettingsT m_settings;
    std::string m_incarnation;
    std::string m_fleetKey;
    uint64_t m_epoch; ///< Start time of this process, which orders its entries after those of earlier ones.
    GossipTable* m_gossip;
    PlanRegister* m_plans;
    TargetDirectory* m_directory;
    std::atomic<bool> m_isDraining { false };
    Random m_random;
    PeriodicThread m_thread;
};

} // namespace cyclamenstair

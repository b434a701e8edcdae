#pragma once

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Membership/MemberTable.h>

#include <map>
#include <mutex>

namespace cyclamenstair {

/// Selects peers to contact from the gossip table, the leases in the store and the seeds of the settings. Thread-safe.
class PeerDirectory {
public:
    PeerDirectory(const schema::SettingsT& settings, const GossipTable& gossip);

    /// Updates the member table from the heartbeats of the gossip table and removes members past their retention time.
    void refresh(TimePoint now);

    /// Sets the members that hold a lease in the store.
    void setLeaseHolders(const std::vector<MemberInfo>& members, TimePoint readAt);

    /// Sets the nodes of the VM list and whether each is leaving.
    void setVms(const std::map<std::string, bool>& leavingByNode, TimePoint readAt);

    /// Returns up to `maxCount` distinct peer addresses in random order, excluding this node's. Seeds and lease holders
    /// are candidates while no peer is alive, and otherwise at random, so that a partitioned fleet merges again.
    std::vector<std::string> selectRandom(size_t maxCount, TimePoint now);

    /// Returns the addresses of all peers that are alive, by node id.
    std::map<std::string, std::string> alivePeers(TimePoint now) const;

    /// Returns whether at least one peer is known and all members are alive or leaving.
    bool areAllMembersAlive(TimePoint now) const;

    const std::string& ownAddress() const { return m_ownAddress; }
    const MemberTable& members() const { return m_members; }

private:
    std::vector<std::string> seedAddresses() const;

    std::string m_ownNodeId;
    std::string m_ownAddress;
    std::string m_seeds;
    const GossipTable* m_gossip;
    MemberTable m_members;
    mutable std::mutex m_mutex; ///< Guards the members below. One lock suffices, because calls are short and rare.
    std::map<std::string, std::string> m_leaseAddresses; ///< Peer address by node.
    Random m_random;
};

} // namespace cyclamenstair

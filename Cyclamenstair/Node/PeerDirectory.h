#pragma once

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Membership/MemberTable.h>

#include <map>
#include <mutex>

namespace cyclamenstair {

/// Chooses peers to talk to, from gossip, the leases in the store and the seeds of the settings. Callable from many
/// threads.
class PeerDirectory {
public:
    PeerDirectory(const schema::SettingsT& settings, const GossipTable& gossip);

    /// Takes the heartbeats that the gossip table holds and forgets members that are long gone.
    void refresh(TimePoint now);

    /// Takes the members that hold a lease in the store.
    void setLeaseHolders(const std::vector<MemberInfo>& members, TimePoint readAt);

    /// Takes the nodes of the VM list with whether they are leaving.
    void setVms(const std::map<std::string, bool>& leavingByNode, TimePoint readAt);

    /// Returns up to `count` different addresses of peers in random order, without this node's. Seeds are among the
    /// choices while no peer is alive, and once in a while, which joins parts that were cut off from each other.
    std::vector<std::string> choose(size_t count, TimePoint now);

    /// Returns the addresses of all peers that are alive.
    std::map<std::string, std::string> alivePeers(TimePoint now) const;

    /// Returns whether every known member is alive.
    bool isComplete(TimePoint now) const;

    const std::string& ownAddress() const { return m_ownAddress; }
    const MemberTable& members() const { return m_members; }

private:
    std::vector<std::string> seedAddresses() const;

    std::string m_ownNode;
    std::string m_ownAddress;
    std::string m_seeds;
    const GossipTable* m_gossip;
    MemberTable m_members;
    mutable std::mutex m_mutex; ///< Guards the members below; calls are short and rare.
    std::map<std::string, std::string> m_leaseAddresses; ///< Peer address by node.
    Random m_random;
};

} // namespace cyclamenstair

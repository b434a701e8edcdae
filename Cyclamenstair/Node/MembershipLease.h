#pragma once

#include <Cyclamenstair/Membership/LeaseState.h>
#include <Cyclamenstair/Node/PeerDirectory.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Store/StoreClient.h>
#include <Cyclamenstair/Transport/VmListClient.h>

namespace cyclamenstair {

/// Keeps the node's record `member/<node>` in the store under a lease, and reads the records of other nodes when gossip
/// alone does not find them.
class MembershipLease {
public:
    MembershipLease(
        const schema::SettingsT& settings, const MemberInfo& self, StoreClient& store, PeerDirectory& peers);

    /// Returns whether the store certainly still holds this node's lease, by the monotonic clock of this moment. A node
    /// that was paused past the end of its lease gets false until it renewed the lease or got a new one, and must not
    /// act as coordinator before.
    bool isCurrent() const;

    /// Ends the thread and revokes the lease.
    void stop();

private:
    Duration step();
    void grant();
    void renew();
    void readMembersIfNeeded();
    void readVmList();

    MemberInfo m_self;
    Duration m_timeToLive;
    VmListClient m_vmList;
    StoreClient* m_store;
    PeerDirectory* m_peers;
    mutable std::mutex m_mutex;
    LeaseState m_lease; ///< Guarded by m_mutex.
    std::optional<TimePoint> m_membersReadAt;
    PeriodicThread m_thread; // Last, so that the thread starts after and ends before everything else.
};

} // namespace cyclamenstair

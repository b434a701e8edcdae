#pragma once

#include <Cyclamenstair/Membership/LeaseState.h>
#include <Cyclamenstair/Node/PeerDirectory.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Store/StoreClient.h>
#include <Cyclamenstair/Transport/VmListClient.h>

namespace cyclamenstair {

/// Maintains the node's record `member/<node>` in the store under a lease, and reads the records of other nodes when
/// gossip does not provide all members.
class MembershipLease {
public:
    MembershipLease(
        const schema::SettingsT& settings, const MemberInfo& member, StoreClient& store, PeerDirectory& peers);

    /// Returns whether the lease is guaranteed to be valid in the store at this time, by the monotonic clock. Returns
    /// false after a pause beyond the lease's expiry until the lease has been renewed or a new one granted. The node
    /// must not act as coordinator while this is false.
    bool isCurrent() const;

    /// Stops the thread and revokes the lease.
    void stop();

private:
    Duration step();
    void grant();
    void renew();
    void readMembersIfNeeded();
    void readVmList();

    MemberInfo m_member;
    Duration m_leaseDuration;
    VmListClient m_vmList;
    StoreClient* m_store;
    PeerDirectory* m_peers;
    mutable std::mutex m_mutex;
    LeaseState m_lease; ///< Guarded by m_mutex.
    std::optional<TimePoint> m_lastMembersReadAt;
    PeriodicThread m_thread; // Last member: starts after and stops before all others.
};

} // namespace cyclamenstair

#include <Cyclamenstair/Node/MembershipLease.h>

#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    constexpr const char* recordPrefix = "member/";

    /// Each read costs a record for every member, so it is made only when a member is silent or no peer is known.
    constexpr Duration membersReadInterval = milliseconds(30000);

    /// Interval while no peer is known. With the keep-alive and the plan's watch this is 0.5 calls/s.
    constexpr Duration lonelyReadInterval = milliseconds(10000);

    constexpr Duration vmListTimeout = milliseconds(1000);

} // namespace

MembershipLease::MembershipLease(
    const schema::SettingsT& settings, const MemberInfo& self, StoreClient& store, PeerDirectory& peers)
    : m_self(self)
    , m_timeToLive(std::chrono::seconds(settings.store->lease_ttl_s))
    , m_vmList(settings.platform->vm_list_endpoint)
    , m_store(&store)
    , m_peers(&peers)
    , m_lease(m_timeToLive)
    , m_thread("membership_lease", [this] { return step(); })
{
}

bool MembershipLease::isCurrent() const
{
    std::lock_guard lock(m_mutex);
    return m_lease.isCurrent(monotonicNow());
}

void MembershipLease::stop()
{
    m_thread.stop();
    std::lock_guard lock(m_mutex);
    if (m_lease.leaseId() != 0)
        m_store->revokeLease(m_lease.leaseId());
    m_lease.setLost();
}

Duration MembershipLease::step()
{
    const auto action = [this] {
        std::lock_guard lock(m_mutex);
        return m_lease.nextAction(monotonicNow());
    }();
    switch (action) {
    case LeaseAction::Grant:
        grant();
        break;
    case LeaseAction::Renew:
        renew();
        break;
    case LeaseAction::Wait:
        break;
    }
    readMembersIfNeeded();
    readVmList();
    return m_timeToLive / 3;
}

void MembershipLease::grant()
{
    const auto callStartedAt = monotonicNow();
    const auto leaseId = m_store->grantLease(m_timeToLive);
    if (!leaseId)
        return;
    StoreTransaction transaction;
    transaction.mutations.emplace_back(StorePut { recordPrefix + m_self.node, encodeMember(m_self), *leaseId });
    // A record whose write is unknown is written again when the lease is lost; until then peers find the node by
    // gossip.
    if (std::holds_alternative<StoreNotApplied>(m_store->transact(transaction)))
        return;
    std::lock_guard lock(m_mutex);
    m_lease.setGranted(*leaseId, callStartedAt);
}

void MembershipLease::renew()
{
    const auto callStartedAt = monotonicNow();
    const auto outcome = m_store->keepLeaseAlive(m_lease.leaseId());
    if (outcome == StoreLeaseOutcome::Unavailable)
        return;
    if (outcome == StoreLeaseOutcome::Alive) {
        std::lock_guard lock(m_mutex);
        m_lease.setRenewed(callStartedAt);
        return;
    }
    logEvent(LogSeverity::Warning, "membership_lease_lost", { { "node", m_self.node } });
    {
        std::lock_guard lock(m_mutex);
        m_lease.setLost();
    }
    grant();
}

void MembershipLease::readMembersIfNeeded()
{
    const auto now = monotonicNow();
    const auto interval = m_peers->alivePeers(now).empty() ? lonelyReadInterval : membersReadInterval;
    if (m_membersReadAt && (now - *m_membersReadAt < interval || m_peers->isComplete(now)))
        return;
    const auto read = m_store->range(recordPrefix, true);
    const auto* range = std::get_if<StoreRange>(&read);
    if (!range)
        return;
    m_membersReadAt = now;
    std::vector<MemberInfo> members;
    for (const auto& record : range->records)
        members.push_back(decodeMember(record.value));
    m_peers->setLeaseHolders(members, now);
}

void MembershipLease::readVmList()
{
    const auto vms = m_vmList.read(vmListTimeout);
    if (!vms)
        return;
    std::map<std::string, bool> leavingByNode;
    for (const auto& vm : *vms) {
        if (vm.kind == VmKind::Node)
            leavingByNode[vm.id] = vm.state == VmState::Leaving;
    }
    m_peers->setVms(leavingByNode, monotonicNow());
}

} // namespace cyclamenstair

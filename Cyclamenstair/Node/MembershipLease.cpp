#include <Cyclamenstair/Node/MembershipLease.h>

#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    constexpr const char* memberRecordPrefix = "member/";

    /// A read returns the records of all members, so it is made only while a member is not alive or no peer is known.
    constexpr Duration membersReadInterval = milliseconds(30000);

    /// Interval while no peer is known. Together with lease renewal and the plan watch, a node makes 0.5 store calls/s.
    constexpr Duration isolatedReadInterval = milliseconds(10000);

    constexpr Duration vmListTimeout = milliseconds(1000);

} // namespace

MembershipLease::MembershipLease(
    const schema::SettingsT& settings, const MemberInfo& member, StoreClient& store, PeerDirectory& peers)
    : m_member(member)
    , m_leaseDuration(std::chrono::seconds(settings.store->lease_ttl_s))
    , m_vmList(settings.platform->vm_list_endpoint)
    , m_store(&store)
    , m_peers(&peers)
    , m_lease(m_leaseDuration)
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
    return m_leaseDuration / 3;
}

void MembershipLease::grant()
{
    const auto requestedAt = monotonicNow();
    const auto leaseId = m_store->grantLease(m_leaseDuration);
    if (!leaseId)
        return;
    StoreTransaction transaction;
    transaction.mutations.emplace_back(
        StorePut { memberRecordPrefix + m_member.node, encodeMember(m_member), *leaseId });
    // If the outcome of the write is unknown, the record is written again when the lease is lost. Until then peers find
    // the node by gossip.
    if (std::holds_alternative<StoreNotApplied>(m_store->transact(transaction)))
        return;
    std::lock_guard lock(m_mutex);
    m_lease.setGranted(*leaseId, requestedAt);
}

void MembershipLease::renew()
{
    const auto requestedAt = monotonicNow();
    const auto outcome = m_store->keepLeaseAlive(m_lease.leaseId());
    if (outcome == StoreLeaseOutcome::Unavailable)
        return;
    if (outcome == StoreLeaseOutcome::Alive) {
        std::lock_guard lock(m_mutex);
        m_lease.setRenewed(requestedAt);
        return;
    }
    logEvent(LogSeverity::Warning, "membership_lease_lost", { { "node", m_member.node } });
    {
        std::lock_guard lock(m_mutex);
        m_lease.setLost();
    }
    grant();
}

void MembershipLease::readMembersIfNeeded()
{
    const auto now = monotonicNow();
    const auto interval = m_peers->alivePeers(now).empty() ? isolatedReadInterval : membersReadInterval;
    if (m_lastMembersReadAt && (now - *m_lastMembersReadAt < interval || m_peers->areAllMembersAlive(now)))
        return;
    const auto read = m_store->range(memberRecordPrefix, true);
    const auto* range = std::get_if<StoreRange>(&read);
    if (!range)
        return;
    m_lastMembersReadAt = now;
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

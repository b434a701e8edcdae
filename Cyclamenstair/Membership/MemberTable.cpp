#include <Cyclamenstair/Membership/MemberTable.h>

#include <algorithm>

namespace cyclamenstair {

MemberTable::MemberTable(MemberTableSettings settings)
    : m_settings(settings)
{
}

void MemberTable::observe(const std::string& node, MemberProgress progress, TimePoint at)
{
    m_members.withShard(node, [&](Members& members) {
        auto& member = members[node];
        if (member.advancedAt && progress <= member.progress)
            return;
        // A new incarnation of a node that was removed from the list is treated as not yet listed.
        if (member.listing == VmListing::Removed && progress.epoch > member.progress.epoch)
            member.listing = VmListing::NeverListed;
        member.progress = progress;
        member.advancedAt = std::max(at, member.advancedAt.value_or(at));
    });
}

void MemberTable::setLeases(const std::set<std::string>& nodes, TimePoint readAt)
{
    for (const auto& node : nodes)
        m_members.withShard(node, [&](Members& members) { members[node].leaseReadAt = readAt; });
    m_members.forEachShard([&](Members& members) {
        for (auto& [node, member] : members) {
            if (!nodes.contains(node))
                member.leaseReadAt.reset();
        }
    });
}

void MemberTable::setVms(const std::map<std::string, bool>& leavingByNode, TimePoint readAt)
{
    m_members.forEachShard([&](Members& members) {
        for (auto& [node, member] : members) {
            const auto listed = leavingByNode.find(node);
            if (listed != leavingByNode.end())
                member.listing = listed->second ? VmListing::Leaving : VmListing::Live;
            else if (member.listing != VmListing::NeverListed && member.advancedAt.value_or(readAt) <= readAt)
                member.listing = VmListing::Removed;
        }
    });
}

std::optional<MemberStatus> MemberTable::find(const std::string& node, TimePoint now) const
{
    return m_members.withShard(node, [&](const Members& members) -> std::optional<MemberStatus> {
        const auto member = members.find(node);
        if (member == members.end())
            return std::nullopt;
        return statusOf(node, member->second, now);
    });
}

std::vector<MemberStatus> MemberTable::members(TimePoint now) const
{
    std::vector<MemberStatus> all;
    m_members.forEachShard([&](const Members& members) {
        for (const auto& [node, member] : members)
            all.push_back(statusOf(node, member, now));
    });
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.node < b.node; });
    return all;
}

void MemberTable::removeDeadMembers(TimePoint now)
{
    m_members.forEachShard([&](Members& members) {
        std::erase_if(members, [&](const auto& row) {
            const auto status = statusOf(row.first, row.second, now);
            return status.state == MemberState::Dead && status.timeSinceProgress > m_settings.retention;
        });
    });
}

MemberStatus MemberTable::statusOf(const std::string& node, const Member& member, TimePoint now) const
{
    MemberStatus status;
    status.node = node;
    status.timeSinceProgress = member.advancedAt ? now - *member.advancedAt : Duration::max();
    const bool hasLease = member.leaseReadAt && now - *member.leaseReadAt <= m_settings.leaseValidity;
    if (member.listing == VmListing::Removed)
        status.state = MemberState::Dead;
    else if (status.timeSinceProgress <= m_settings.timeout)
        status.state = member.listing == VmListing::Leaving ? MemberState::Leaving : MemberState::Alive;
    else
        status.state = hasLease ? MemberState::Suspect : MemberState::Dead;
    return status;
}

} // namespace cyclamenstair

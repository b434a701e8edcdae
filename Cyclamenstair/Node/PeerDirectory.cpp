#include <Cyclamenstair/Node/PeerDirectory.h>

#include <Cyclamenstair/Node/GossipKeys.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace cyclamenstair {

namespace {

    /// Probability that a selection includes seeds and lease holders although peers are alive.
    constexpr double seedProbability = 0.1;

    MemberTableSettings memberSettings(const schema::SettingsT& settings)
    {
        MemberTableSettings result;
        result.timeout = milliseconds(settings.peer->member_timeout_ms);
        result.retention = 10 * result.timeout;
        return result;
    }

    bool isReachable(const std::optional<MemberStatus>& status)
    {
        return status && (status->state == MemberState::Alive || status->state == MemberState::Leaving);
    }

} // namespace

PeerDirectory::PeerDirectory(const schema::SettingsT& settings, const GossipTable& gossip)
    : m_ownNodeId(settings.node->id)
    , m_ownAddress(settings.peer->address + ":" + std::to_string(settings.peer->port))
    , m_seeds(settings.peer->seeds)
    , m_gossip(&gossip)
    , m_members(memberSettings(settings))
    , m_random(std::random_device {}())
{
}

void PeerDirectory::refresh(TimePoint now)
{
    for (const auto& entry : m_gossip->liveEntries(memberKeyPrefix, now))
        m_members.observe(entry.key.substr(memberKeyPrefix.size()),
            { entry.version.epoch, entry.version.counter, entry.heartbeat }, now - entry.age);
    m_members.removeDeadMembers(now);
}

void PeerDirectory::setLeaseHolders(const std::vector<MemberInfo>& members, TimePoint readAt)
{
    std::set<std::string> nodes;
    std::map<std::string, std::string> addresses;
    for (const auto& member : members) {
        nodes.insert(member.node);
        addresses[member.node] = member.peerAddress;
    }
    m_members.setLeases(nodes, readAt);
    std::lock_guard lock(m_mutex);
    m_leaseAddresses = std::move(addresses);
}

void PeerDirectory::setVms(const std::map<std::string, bool>& leavingByNode, TimePoint readAt)
{
    m_members.setVms(leavingByNode, readAt);
}

std::vector<std::string> PeerDirectory::selectRandom(size_t maxCount, TimePoint now)
{
    std::set<std::string> addresses;
    for (const auto& [node, address] : alivePeers(now))
        addresses.insert(address);
    std::lock_guard lock(m_mutex);
    if (addresses.empty() || randomUnit(m_random) < seedProbability) {
        for (const auto& seed : seedAddresses())
            addresses.insert(seed);
        for (const auto& [node, address] : m_leaseAddresses)
            addresses.insert(address);
    }
    addresses.erase(m_ownAddress);
    std::vector<std::string> selected(addresses.begin(), addresses.end());
    std::shuffle(selected.begin(), selected.end(), m_random);
    selected.resize(std::min(maxCount, selected.size()));
    return selected;
}

std::map<std::string, std::string> PeerDirectory::alivePeers(TimePoint now) const
{
    std::map<std::string, std::string> peers;
    for (const auto& entry : m_gossip->liveEntries(memberKeyPrefix, now)) {
        const auto member = decodeMember(entry.payload);
        if (member.node != m_ownNodeId && isReachable(m_members.find(member.node, now)))
            peers[member.node] = member.peerAddress;
    }
    return peers;
}

bool PeerDirectory::areAllMembersAlive(TimePoint now) const
{
    const auto members = m_members.members(now);
    return members.size() > 1
        && std::all_of(members.begin(), members.end(), [&](const auto& member) { return isReachable(member); });
}

std::vector<std::string> PeerDirectory::seedAddresses() const
{
    std::vector<std::string> seeds;
    std::istringstream stream(m_seeds);
    for (std::string seed; std::getline(stream, seed, ',');) {
        seed.erase(0, seed.find_first_not_of(' '));
        if (!seed.empty())
            seeds.push_back(seed);
    }
    return seeds;
}

} // namespace cyclamenstair

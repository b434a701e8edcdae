#include <Cyclamenstair/Fleet/RelayPeers.h>

#include <algorithm>

namespace cyclamenstair {

void RelayPeers::setPeers(const std::vector<RelayPeer>& peers)
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, PeerState> states;
    for (const auto& peer : peers) {
        if (peer.address.empty())
            continue;
        auto& state = states[peer.id];
        if (const auto known = m_peers.find(peer.id); known != m_peers.end())
            state = known->second;
        state.peer = peer;
    }
    m_peers = std::move(states);
}

void RelayPeers::setIsolated(std::set<std::string> nodes)
{
    std::lock_guard lock(m_mutex);
    m_isolated = std::move(nodes);
}

std::optional<RelayPeer> RelayPeers::acquire(const std::set<std::string>& excluded, TimePoint now, Random& random)
{
    std::lock_guard lock(m_mutex);
    std::vector<PeerState*> candidates;
    for (auto& [id, state] : m_peers) {
        if (!excluded.contains(id) && !m_isolated.contains(id) && state.avoidedUntil <= now)
            candidates.push_back(&state);
    }
    if (candidates.empty())
        return std::nullopt;
    // Two choices: nodes that lose their targets together do not all choose the same peer.
    auto* best = candidates[randomIndex(random, candidates.size())];
    auto* const other = candidates[randomIndex(random, candidates.size())];
    if (cost(*other) < cost(*best))
        best = other;
    ++best->inFlight;
    return best->peer;
}

bool RelayPeers::hasReachingPeer() const
{
    std::lock_guard lock(m_mutex);
    return std::any_of(
        m_peers.begin(), m_peers.end(), [&](const auto& entry) { return !m_isolated.contains(entry.first); });
}

void RelayPeers::release(const std::string& peer)
{
    std::lock_guard lock(m_mutex);
    if (const auto state = m_peers.find(peer); state != m_peers.end())
        state->second.inFlight -= std::min(state->second.inFlight, 1U);
}

void RelayPeers::avoid(const std::string& peer, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (const auto state = m_peers.find(peer); state != m_peers.end())
        state->second.avoidedUntil = now + m_settings.avoidDuration;
}

double RelayPeers::cost(const PeerState& state) const
{
    constexpr double minCpuShare = 0.01;
    const double cost = state.inFlight / std::max(minCpuShare, state.peer.cpuShare);
    return state.peer.failureDomain == m_settings.failureDomain ? cost : cost + m_settings.remoteDomainCost;
}

} // namespace cyclamenstair

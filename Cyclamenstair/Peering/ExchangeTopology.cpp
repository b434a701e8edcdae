#include <Cyclamenstair/Peering/ExchangeTopology.h>

#include <Cyclamenstair/Core/Hash.h>

#include <algorithm>

namespace cyclamenstair {

ExchangeTopology::ExchangeTopology(std::string nodeId, ExchangeTopologySettings settings)
    : m_nodeId(std::move(nodeId))
    , m_settings(settings)
    , m_collector(m_nodeId)
{
}

void ExchangeTopology::setNodes(PeerNodes nodes, const PeerNode& self)
{
    nodes.try_emplace(m_nodeId, self);
    m_nodes = std::move(nodes);
    using Rank = std::pair<double, uint64_t>;
    std::map<std::string, std::map<Rank, std::string>> ranks;
    for (const auto& [id, node] : m_nodes)
        ranks[node.failureDomain][{ -node.cpuShare, stableHash(id) }] = id;
    m_rankings.clear();
    for (const auto& [domain, idsByRank] : ranks) {
        for (const auto& [rank, id] : idsByRank)
            m_rankings[domain].push_back(id);
    }
}

void ExchangeTopology::update(bool isCollecting, TimePoint now)
{
    if (isDirect()) {
        m_collector = m_nodeId;
        return;
    }
    if (isCollecting)
        m_collectorSeenAt = now;
    if (!isOwnCollector() && now - m_collectorSeenAt >= m_settings.collectorTimeout)
        m_avoidedUntil[m_collector] = now + m_settings.collectorBackoff;
    std::erase_if(m_avoidedUntil, [&](const auto& entry) { return entry.second <= now; });
    chooseCollector(now);
}

void ExchangeTopology::markSummaryReceived(const std::string& collector, TimePoint now)
{
    if (collector == m_collector)
        m_collectorSeenAt = now;
}

std::vector<std::string> ExchangeTopology::candidates() const
{
    std::vector<std::string> ids;
    for (const auto& [domain, ranked] : m_rankings) {
        const auto count = std::min(ranked.size(), m_settings.candidatesPerDomain);
        std::copy_if(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), std::back_inserter(ids),
            [&](const auto& id) { return id != m_nodeId; });
    }
    return ids;
}

std::set<std::string> ExchangeTopology::peers(bool isCollecting, const std::string& leaseHolder) const
{
    std::set<std::string> ids;
    if (isDirect()) {
        for (const auto& [id, node] : m_nodes)
            ids.insert(id);
    } else {
        ids.insert(m_collector);
        if (isCollecting || isOwnCollector() || leaseHolder == m_nodeId) {
            for (auto& id : candidates())
                ids.insert(std::move(id));
            ids.insert(leaseHolder);
        }
    }
    ids.erase(m_nodeId);
    std::erase_if(ids, [&](const auto& id) { return !m_nodes.contains(id); });
    return ids;
}

void ExchangeTopology::chooseCollector(TimePoint now)
{
    const auto& ranked = m_rankings.at(m_nodes.at(m_nodeId).failureDomain);
    const auto best = std::find_if(
        ranked.begin(), ranked.end(), [&](const auto& id) { return id == m_nodeId || !m_avoidedUntil.contains(id); });
    if (*best == m_collector)
        return;
    m_collector = *best;
    m_collectorSeenAt = now;
}

} // namespace cyclamenstair

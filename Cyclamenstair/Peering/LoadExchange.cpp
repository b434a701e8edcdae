#include <Cyclamenstair/Peering/LoadExchange.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    void addLoads(TargetWorkloads& total, const TargetWorkloads& loads)
    {
        for (const auto& [target, load] : loads) {
            auto& sum = total[target];
            sum.inFlight += load.inFlight;
            sum.pendingPromptTokens += load.pendingPromptTokens;
            sum.overdue += load.overdue;
            sum.answers += load.answers;
            sum.beyondShare += load.beyondShare;
            if (load.brittleLimit > 0)
                sum.brittleLimit
                    = sum.brittleLimit > 0 ? std::min(sum.brittleLimit, load.brittleLimit) : load.brittleLimit;
        }
    }

    void addDemand(DemandShare& total, const DemandShare& share)
    {
        for (const auto& [artifact, load] : share.demands) {
            auto& sum = total.demands[artifact];
            sum.arrivalsPerSecond += load.arrivalsPerSecond;
            sum.inProgress += load.inProgress;
            sum.waiting += load.waiting;
        }
        for (const auto& [target, models] : share.modelRuns) {
            for (const auto& [model, inFlight] : models)
                total.modelRuns[target][model] += inFlight;
        }
    }

    uint32_t difference(uint32_t total, uint32_t part) { return total - std::min(total, part); }

} // namespace

LoadExchange::LoadExchange(std::string nodeId, LoadExchangeSettings settings)
    : m_nodeId(std::move(nodeId))
    , m_settings(settings)
{
}

void LoadExchange::add(LoadShare share, TimePoint now)
{
    auto node = share.node;
    m_shares[std::move(node)] = { std::move(share), now };
}

void LoadExchange::add(DemandShare share, TimePoint now)
{
    auto node = share.node;
    m_demands[std::move(node)] = { std::move(share), now };
}

void LoadExchange::add(const LoadSummary& summary, const TargetWorkloads& ownShare, TimePoint now)
{
    m_summary = summary.loads;
    for (const auto& [target, own] : ownShare) {
        const auto total = m_summary.find(target);
        if (total == m_summary.end())
            continue;
        total->second.inFlight = difference(total->second.inFlight, own.inFlight);
        total->second.pendingPromptTokens = difference(total->second.pendingPromptTokens, own.pendingPromptTokens);
        total->second.overdue = difference(total->second.overdue, own.overdue);
        total->second.answers = difference(total->second.answers, own.answers);
        total->second.beyondShare = difference(total->second.beyondShare, own.beyondShare);
    }
    m_summaryIsolated = summary.isolatedNodes;
    m_summaryIsolated.erase(m_nodeId);
    m_summaryReceivedAt = now;
}

void LoadExchange::expire(TimePoint now)
{
    std::erase_if(
        m_shares, [&](const auto& entry) { return now - entry.second.receivedAt >= m_settings.shareLifetime; });
    std::erase_if(
        m_demands, [&](const auto& entry) { return now - entry.second.receivedAt >= m_settings.demandLifetime; });
    if (now - m_summaryReceivedAt >= m_settings.shareLifetime) {
        m_summary.clear();
        m_summaryIsolated.clear();
    }
}

bool LoadExchange::hasMembers() const
{
    return std::any_of(
        m_shares.begin(), m_shares.end(), [](const auto& entry) { return !entry.second.message.isCollected; });
}

std::vector<std::string> LoadExchange::members() const
{
    std::vector<std::string> ids;
    for (const auto& [node, share] : m_shares) {
        if (!share.message.isCollected)
            ids.push_back(node);
    }
    return ids;
}

std::vector<std::string> LoadExchange::collectors() const
{
    std::vector<std::string> ids;
    for (const auto& [node, share] : m_shares) {
        if (share.message.isCollected)
            ids.push_back(node);
    }
    return ids;
}

TargetWorkloads LoadExchange::remoteLoads(bool usesSummary) const
{
    if (usesSummary)
        return m_summary;
    TargetWorkloads total;
    for (const auto& [node, share] : m_shares)
        addLoads(total, share.message.loads);
    return total;
}

std::set<std::string> LoadExchange::ownIsolation() const
{
    return m_isIsolated ? std::set<std::string> { m_nodeId } : std::set<std::string>();
}

std::set<std::string> LoadExchange::isolatedNodes(bool usesSummary) const
{
    if (usesSummary)
        return m_summaryIsolated;
    std::set<std::string> nodes;
    for (const auto& [node, share] : m_shares)
        nodes.insert(share.message.isolatedNodes.begin(), share.message.isolatedNodes.end());
    nodes.erase(m_nodeId);
    return nodes;
}

LoadShare LoadExchange::groupShare(const TargetWorkloads& own) const
{
    LoadShare sum { m_nodeId, own, true, ownIsolation() };
    for (const auto& [node, share] : m_shares) {
        if (share.message.isCollected)
            continue;
        addLoads(sum.loads, share.message.loads);
        sum.isolatedNodes.insert(share.message.isolatedNodes.begin(), share.message.isolatedNodes.end());
    }
    return sum;
}

LoadSummary LoadExchange::summary(const TargetWorkloads& own) const
{
    LoadSummary sum { m_nodeId, own, 0, isolatedNodes(false) };
    sum.isolatedNodes.merge(ownIsolation());
    for (const auto& [node, share] : m_shares)
        addLoads(sum.loads, share.message.loads);
    return sum;
}

DemandShare LoadExchange::groupDemand(DemandShare own) const
{
    for (const auto& [node, demand] : m_demands) {
        const auto share = m_shares.find(node);
        if (share != m_shares.end() && !share->second.message.isCollected)
            addDemand(own, demand.message);
    }
    return own;
}

DemandShare LoadExchange::totalDemand(DemandShare own) const
{
    for (const auto& [node, demand] : m_demands)
        addDemand(own, demand.message);
    return own;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Peering/UsageExchange.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    void addUsage(TeamUsages& total, const TeamUsages& part)
    {
        for (const auto& [team, usage] : part) {
            auto& sum = total[team];
            sum.offered += usage.offered;
            sum.admitted += usage.admitted;
        }
    }

} // namespace

void UsageExchange::add(UsageShare share, TimePoint now)
{
    auto node = share.node;
    m_shares[std::move(node)] = { std::move(share), now };
}

void UsageExchange::add(const UsageSummary& summary, const TeamUsages& ownUsage, TimePoint now)
{
    m_summary = { summary.usage, summary.nodeCount };
    for (const auto& [team, own] : ownUsage) {
        const auto total = m_summary.usage.find(team);
        if (total == m_summary.usage.end())
            continue;
        total->second.offered = std::max(0.0, total->second.offered - own.offered);
        total->second.admitted = std::max(0.0, total->second.admitted - own.admitted);
    }
    m_summaryReceivedAt = now;
}

void UsageExchange::expire(TimePoint now)
{
    std::erase_if(m_shares, [&](const auto& entry) { return now - entry.second.receivedAt >= shareLifetime; });
    if (now - m_summaryReceivedAt >= shareLifetime)
        m_summary = {};
}

UsageExchange::RemoteUsage UsageExchange::remoteUsage(bool usesSummary) const
{
    if (usesSummary)
        return m_summary;
    RemoteUsage remote;
    for (const auto& [node, received] : m_shares) {
        addUsage(remote.usage, received.share.usage);
        remote.knownNodes += received.share.nodeCount;
    }
    return remote;
}

UsageShare UsageExchange::groupShare(const TeamUsages& own) const
{
    UsageShare sum { m_nodeId, own, 1, true };
    for (const auto& [node, received] : m_shares) {
        if (received.share.isCollected)
            continue;
        addUsage(sum.usage, received.share.usage);
        sum.nodeCount += received.share.nodeCount;
    }
    return sum;
}

UsageSummary UsageExchange::summary(const TeamUsages& own) const
{
    UsageSummary sum { m_nodeId, own, 1 };
    for (const auto& [node, received] : m_shares) {
        addUsage(sum.usage, received.share.usage);
        sum.nodeCount += received.share.nodeCount;
    }
    return sum;
}

} // namespace cyclamenstair

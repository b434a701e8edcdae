#include <Cyclamenstair/Node/DemandPublisher.h>

#include <Cyclamenstair/Codec/PlacementCodec.h>
#include <Cyclamenstair/Node/GossipKeys.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Artifacts with lower demand are omitted, so that a summary stays within 2 KB.
    constexpr size_t maxPublishedArtifacts = 64;
    constexpr Duration minPublishInterval = milliseconds(2000);
    /// The publish interval grows with the number of members, so that the gossip traffic of a node stays bounded.
    constexpr Duration publishIntervalPerMember = milliseconds(100);

    DemandByArtifact largestDemands(DemandByArtifact demand, size_t maxCount)
    {
        if (demand.size() <= maxCount)
            return demand;
        std::vector<double> rates;
        for (const auto& [artifact, rate] : demand)
            rates.push_back(rate.peak());
        std::nth_element(rates.begin(), rates.begin() + static_cast<std::ptrdiff_t>(maxCount), rates.end(),
            [](double a, double b) { return a > b; });
        std::erase_if(demand, [&](const auto& row) { return row.second.peak() <= rates[maxCount]; });
        return demand;
    }

    uint64_t unixMicroseconds()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    }

} // namespace

DemandPublisher::DemandPublisher(
    std::string node, Duration memberTimeout, DemandTracker& demandTracker, GossipTable& gossip)
    : m_node(std::move(node))
    , m_memberTimeout(memberTimeout)
    , m_epoch(unixMicroseconds())
    , m_demandTracker(&demandTracker)
    , m_gossip(&gossip)
    , m_thread("demand", [this] { return step(); })
{
}

DemandByArtifact DemandPublisher::fleetDemand(TimePoint now) const
{
    DemandByArtifact total;
    for (const auto& key : m_gossip->recentKeys(memberKeyPrefix, m_memberTimeout, now)) {
        const auto node = key.substr(memberKeyPrefix.size());
        const auto entry = node == m_node ? std::nullopt : m_gossip->find(demandKeyPrefix + node);
        if (!entry)
            continue;
        for (const auto& [artifact, demand] : decodeDemand(entry->payload).demand) {
            total[artifact].fast += demand.fast;
            total[artifact].slow += demand.slow;
        }
    }
    for (const auto& [artifact, demand] : m_demandTracker->demand(now)) {
        total[artifact].fast += demand.fast;
        total[artifact].slow += demand.slow;
    }
    return total;
}

Duration DemandPublisher::step()
{
    const auto now = monotonicNow();
    DemandSummary summary { m_node, largestDemands(m_demandTracker->demand(now), maxPublishedArtifacts) };
    // An empty summary is published only once after the demand has ceased.
    if (!summary.demand.empty() || m_hasPublishedDemand)
        m_gossip->publish(demandKeyPrefix + m_node, m_epoch, encodeDemand(summary), now);
    m_hasPublishedDemand = !summary.demand.empty();
    const auto members = m_gossip->recentKeys(memberKeyPrefix, m_memberTimeout, now).size();
    return std::max(minPublishInterval, publishIntervalPerMember * static_cast<int64_t>(members));
}

} // namespace cyclamenstair

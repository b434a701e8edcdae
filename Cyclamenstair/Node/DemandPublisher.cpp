#include <Cyclamenstair/Node/DemandPublisher.h>

#include <Cyclamenstair/Codec/PlacementCodec.h>
#include <Cyclamenstair/Node/GossipKeys.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Artifacts with less demand are left out, so that a summary stays within 2 KB.
    constexpr size_t maxPublishedArtifacts = 64;
    constexpr Duration minPublishInterval = milliseconds(2000);
    /// With more members each publishes less often, so that the gossip traffic of a node stays bounded.
    constexpr Duration publishIntervalPerMember = milliseconds(100);

    DemandByArtifact largest(DemandByArtifact demand, size_t count)
    {
        if (demand.size() <= count)
            return demand;
        std::vector<double> rates;
        for (const auto& [artifact, rate] : demand)
            rates.push_back(rate.peak());
        std::nth_element(rates.begin(), rates.begin() + static_cast<std::ptrdiff_t>(count), rates.end(),
            [](double left, double right) { return left > right; });
        std::erase_if(demand, [&](const auto& row) { return row.second.peak() <= rates[count]; });
        return demand;
    }

    uint64_t unixMicroseconds()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    }

} // namespace

DemandPublisher::DemandPublisher(std::string node, Duration memberTimeout, DemandTracker& demand, GossipTable& gossip)
    : m_node(std::move(node))
    , m_memberTimeout(memberTimeout)
    , m_epoch(unixMicroseconds())
    , m_demand(&demand)
    , m_gossip(&gossip)
    , m_thread("demand", [this] { return step(); })
{
}

DemandByArtifact DemandPublisher::fleetDemand(TimePoint now) const
{
    DemandByArtifact sum;
    for (const auto& key : m_gossip->recentKeys(memberKeyPrefix, m_memberTimeout, now)) {
        const auto node = key.substr(memberKeyPrefix.size());
        const auto entry = node == m_node ? std::nullopt : m_gossip->find(demandKeyPrefix + node);
        if (!entry)
            continue;
        for (const auto& [artifact, demand] : decodeDemand(entry->payload).demand) {
            sum[artifact].fast += demand.fast;
            sum[artifact].slow += demand.slow;
        }
    }
    for (const auto& [artifact, demand] : m_demand->demand(now)) {
        sum[artifact].fast += demand.fast;
        sum[artifact].slow += demand.slow;
    }
    return sum;
}

Duration DemandPublisher::step()
{
    const auto now = monotonicNow();
    DemandSummary summary { m_node, largest(m_demand->demand(now), maxPublishedArtifacts) };
    // A node without demand publishes that once and then stays silent.
    if (!summary.demand.empty() || m_hasPublished)
        m_gossip->publish(demandKeyPrefix + m_node, m_epoch, encodeDemand(summary), now);
    m_hasPublished = !summary.demand.empty();
    const auto members = m_gossip->recentKeys(memberKeyPrefix, m_memberTimeout, now).size();
    return std::max(minPublishInterval, publishIntervalPerMember * static_cast<int64_t>(members));
}

} // namespace cyclamenstair

#include <Cyclamenstair/Node/CallerQuota.h>

#include <Cyclamenstair/Codec/UsageCodec.h>
#include <Cyclamenstair/Node/GossipKeys.h>

namespace cyclamenstair {

namespace {

    constexpr Duration exchangeInterval = milliseconds(500);

    /// Maximum age of another node's demands; older ones are ignored.
    constexpr Duration maxDemandAge = milliseconds(5000);

    uint64_t unixMicroseconds()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    }

} // namespace

CallerQuota::CallerQuota(std::string node, GossipTable& gossip)
    : m_gossipKey(usageKeyPrefix + std::move(node))
    , m_epoch(unixMicroseconds())
    , m_gossip(&gossip)
    , m_thread("caller-quota", [this] { return exchangeDemands(); })
{
}

std::optional<Duration> CallerQuota::consumeOrGetDelay(const CallerSpec& caller, size_t liveNodes)
{
    return m_limiter.consumeOrGetDelay(
        caller.name, { caller.requestsPerSecond, static_cast<double>(caller.burst) }, liveNodes, monotonicNow());
}

Duration CallerQuota::exchangeDemands()
{
    const auto now = monotonicNow();
    const auto localDemands = m_limiter.demands(now);
    // An idle node publishes one empty record and then nothing.
    if (!localDemands.empty() || m_hasPublishedDemands)
        m_gossip->publish(m_gossipKey, m_epoch, encodeUsage(localDemands), now);
    m_hasPublishedDemands = !localDemands.empty();

    CallerDemands remoteDemands;
    for (const auto& key : m_gossip->recentKeys(usageKeyPrefix, maxDemandAge, now)) {
        const auto entry = m_gossip->find(key);
        if (key == m_gossipKey || !entry)
            continue;
        for (const auto& [caller, demand] : decodeUsage(entry->payload))
            remoteDemands[caller] += demand;
    }
    m_limiter.setRemoteDemands(remoteDemands);
    return exchangeInterval;
}

} // namespace cyclamenstair

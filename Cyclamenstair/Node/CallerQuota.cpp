#include <Cyclamenstair/Node/CallerQuota.h>

#include <Cyclamenstair/Codec/UsageCodec.h>
#include <Cyclamenstair/Node/GossipKeys.h>

namespace cyclamenstair {

namespace {

    constexpr Duration exchangeInterval = milliseconds(500);

    /// Age from which on another node's demands are left out.
    constexpr Duration maxAge = milliseconds(5000);

    uint64_t unixMicroseconds()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    }

} // namespace

CallerQuota::CallerQuota(std::string node, GossipTable& gossip)
    : m_key(usageKeyPrefix + std::move(node))
    , m_epoch(unixMicroseconds())
    , m_gossip(&gossip)
    , m_thread("caller-quota", [this] { return exchangeDemands(); })
{
}

std::optional<Duration> CallerQuota::take(const CallerSpec& caller, size_t liveNodes)
{
    return m_limiter.consumeOrGetDelay(
        caller.name, { caller.requestsPerSecond, static_cast<double>(caller.burst) }, liveNodes, monotonicNow());
}

Duration CallerQuota::exchangeDemands()
{
    const auto now = monotonicNow();
    const auto own = m_limiter.demands(now);
    // An idle node publishes nothing after one empty record.
    if (!own.empty() || m_hasPublished)
        m_gossip->publish(m_key, m_epoch, encodeUsage(own), now);
    m_hasPublished = !own.empty();

    CallerDemands others;
    for (const auto& key : m_gossip->recentKeys(usageKeyPrefix, maxAge, now)) {
        const auto entry = m_gossip->find(key);
        if (key == m_key || !entry)
            continue;
        for (const auto& [caller, demand] : decodeUsage(entry->payload))
            others[caller] += demand;
    }
    m_limiter.setRemoteDemands(others);
    return exchangeInterval;
}

} // namespace cyclamenstair

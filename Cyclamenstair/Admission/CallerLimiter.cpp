#include <Cyclamenstair/Admission/CallerLimiter.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair {

namespace {

    /// Time constant of the demand average. It covers several gossip rounds, so that the shares do not oscillate with
    /// the gossip delay.
    constexpr double demandTimeConstantSeconds = 3.0;

    /// Fraction of the rate that is split evenly regardless of demand, so that a node that is new to a caller has a
    /// share.
    constexpr double evenShareFraction = 0.1;

    constexpr double minReportedDemand = 0.05;

    double decayedDemand(double demand, Duration age)
    {
        return demand * std::exp(-toSeconds(age) / demandTimeConstantSeconds);
    }

    /// Returns this node's share of a caller's rate, in (0, 1].
    double rateShare(double rate, double localDemand, double remoteDemand, size_t liveNodes)
    {
        const auto nodes = static_cast<double>(std::max<size_t>(1, liveNodes));
        const double evenRate = evenShareFraction * rate / nodes;
        // Without demand, all shares are equal.
        return (localDemand + evenRate) / (localDemand + remoteDemand + nodes * evenRate);
    }

} // namespace

std::optional<Duration> CallerLimiter::consumeOrGetDelay(
    const std::string& caller, const CallerLimit& limit, size_t liveNodes, TimePoint now)
{
    if (limit.requestsPerSecond <= 0)
        return std::nullopt;
    return m_buckets.withShard(caller, [&](Buckets& buckets) -> std::optional<Duration> {
        auto& bucket = buckets[caller];
        bucket.demand = decayedDemand(bucket.demand, now - bucket.demandUpdatedAt) + 1 / demandTimeConstantSeconds;
        bucket.demandUpdatedAt = now;
        // Demand is capped at the rate, so that a node with excess requests does not take the other nodes' shares.
        const double rate = limit.requestsPerSecond;
        const double share = rateShare(rate, std::min(bucket.demand, rate),
            std::min(bucket.remoteDemand, rate * static_cast<double>(liveNodes)), liveNodes);
        const double capacity = std::max(1.0, share * std::max(1.0, limit.burst));
        if (bucket.isNew)
            bucket.tokens
                = std::max(1.0, std::max(1.0, limit.burst) / static_cast<double>(std::max<size_t>(1, liveNodes)));
        else
            bucket.tokens = std::min(capacity, bucket.tokens + toSeconds(now - bucket.refilledAt) * rate * share);
        bucket.isNew = false;
        bucket.refilledAt = now;
        if (bucket.tokens >= 1) {
            bucket.tokens -= 1;
            return std::nullopt;
        }
        const double seconds = (1 - bucket.tokens) / (rate * share);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) + Duration(1);
    });
}

void CallerLimiter::setRemoteDemands(const CallerDemands& demands)
{
    m_buckets.forEachShard([&](Buckets& buckets) {
        for (auto& [caller, bucket] : buckets) {
            const auto found = demands.find(caller);
            bucket.remoteDemand = found == demands.end() ? 0 : found->second;
        }
    });
}

CallerDemands CallerLimiter::demands(TimePoint now) const
{
    CallerDemands demands;
    m_buckets.forEachShard([&](const Buckets& buckets) {
        for (const auto& [caller, bucket] : buckets) {
            const double demand = decayedDemand(bucket.demand, now - bucket.demandUpdatedAt);
            if (demand >= minReportedDemand)
                demands[caller] = demand;
        }
    });
    return demands;
}

} // namespace cyclamenstair

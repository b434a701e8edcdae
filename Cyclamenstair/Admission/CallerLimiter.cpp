#include <Cyclamenstair/Admission/CallerLimiter.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair {

namespace {

    /// Time over which demand is averaged. Longer than a few gossip rounds, so that shares don't swing with their lag.
    constexpr double demandSeconds = 3.0;

    /// Part of the rate that is split evenly whatever the demand is, so that a node with a new caller has a share.
    constexpr double evenPart = 0.1;

    constexpr double leastReportedDemand = 0.05;

    double decayed(double demand, Duration age) { return demand * std::exp(-toSeconds(age) / demandSeconds); }

    /// Returns the node's share of a caller's rate, in (0, 1].
    double shareOf(double rate, double ownDemand, double otherDemand, size_t liveNodes)
    {
        const auto nodes = static_cast<double>(std::max<size_t>(1, liveNodes));
        const double even = evenPart * rate / nodes;
        // Without any demand the shares are equal.
        return (ownDemand + even) / (ownDemand + otherDemand + nodes * even);
    }

} // namespace

std::optional<Duration> CallerLimiter::take(
    const std::string& caller, const CallerLimit& limit, size_t liveNodes, TimePoint now)
{
    if (limit.requestsPerSecond <= 0)
        return std::nullopt;
    return m_buckets.withShard(caller, [&](Buckets& buckets) -> std::optional<Duration> {
        auto& bucket = buckets[caller];
        bucket.demand = decayed(bucket.demand, now - bucket.demandAt) + 1 / demandSeconds;
        bucket.demandAt = now;
        // Demand above the rate is cut, so that a node that floods does not take the others' shares.
        const double rate = limit.requestsPerSecond;
        const double share = shareOf(rate, std::min(bucket.demand, rate),
            std::min(bucket.otherDemand, rate * static_cast<double>(liveNodes)), liveNodes);
        const double capacity = std::max(1.0, share * std::max(1.0, limit.burst));
        if (bucket.isNew)
            bucket.tokens
                = std::max(1.0, std::max(1.0, limit.burst) / static_cast<double>(std::max<size_t>(1, liveNodes)));
        else
            bucket.tokens = std::min(capacity, bucket.tokens + toSeconds(now - bucket.filledAt) * rate * share);
        bucket.isNew = false;
        bucket.filledAt = now;
        if (bucket.tokens >= 1) {
            bucket.tokens -= 1;
            return std::nullopt;
        }
        const double seconds = (1 - bucket.tokens) / (rate * share);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) + Duration(1);
    });
}

void CallerLimiter::setOtherDemands(const CallerDemands& demands)
{
    m_buckets.forEachShard([&](Buckets& buckets) {
        for (auto& [caller, bucket] : buckets) {
            const auto found = demands.find(caller);
            bucket.otherDemand = found == demands.end() ? 0 : found->second;
        }
    });
}

CallerDemands CallerLimiter::demands(TimePoint now) const
{
    CallerDemands demands;
    m_buckets.forEachShard([&](const Buckets& buckets) {
        for (const auto& [caller, bucket] : buckets) {
            const double demand = decayed(bucket.demand, now - bucket.demandAt);
            if (demand >= leastReportedDemand)
                demands[caller] = demand;
        }
    });
    return demands;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Admission/AllotmentLimiter.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair {

namespace {

    /// Usage below this rate is not reported.
    constexpr double minReportedUsage = 0.01;

    /// Upper bound of the delay that a refusal states. Demand above the rate may end sooner than predicted.
    constexpr Duration maxDelay = milliseconds(8000);

    Duration fromSeconds(double seconds)
    {
        return Duration(static_cast<int64_t>(std::min(seconds, toSeconds(maxDelay)) * 1e6));
    }

} // namespace

AllotmentLimiter::AllotmentLimiter(AllotmentLimiterSettings settings)
    : m_settings(settings)
{
}

void AllotmentLimiter::setRates(const std::map<std::string, FleetRate>& rates, TimePoint now)
{
    const auto currentView = view(now);
    m_buckets.forEachShard([&](Buckets& buckets) {
        std::erase_if(buckets, [&](const auto& entry) { return !rates.contains(entry.first); });
    });
    for (const auto& row : rates) {
        m_buckets.withShard(row.first, [&](Buckets& buckets) {
            const auto inserted = buckets.try_emplace(row.first);
            auto& bucket = inserted.first->second;
            if (inserted.second) {
                // A node that has just started does not know what was admitted before, so it assumes that the burst is
                // used.
                bucket.advancedAt = now;
                bucket.ownUpdatedAt = now;
            } else {
                advance(bucket, currentView, now);
            }
            bucket.rate = row.second;
            bucket.level = std::min(bucket.level, capacity(bucket));
        });
    }
}

std::optional<Duration> AllotmentLimiter::consumeOrGetDelay(
    const std::string& team, double units, TimePoint now, Random& random)
{
    const auto currentView = view(now);
    return m_buckets.withShard(team, [&](Buckets& buckets) -> std::optional<Duration> {
        const auto entry = buckets.find(team);
        if (entry == buckets.end() || entry->second.rate.unitsPerSecond <= 0)
            return std::nullopt;
        auto& bucket = entry->second;
        advance(bucket, currentView, now);
        bucket.own = decayedUsage(bucket, now);
        bucket.ownUpdatedAt = now;
        // Without this request, which would count for much more than its part at a node with few requests.
        const double demandedRate = demand(bucket, currentView);
        bucket.own.offered += units / toSeconds(m_settings.averagingTime);

        const double fraction = usableFraction(currentView);
        const double rate = bucket.rate.unitsPerSecond * fraction * m_settings.rationedFraction;
        const double band = bucket.rate.unitsPerSecond * toSeconds(m_settings.controlBand);
        const double emptyLevel = std::min(0.0, capacity(bucket) - band);
        const double fullness = (bucket.level - emptyLevel) / band;
        // Twice the ratio, so that the level settles in the middle of the band.
        const double probability = 2 * fullness * rate / demandedRate;
        if (randomUnit(random) < probability) {
            bucket.level -= units;
            bucket.own.admitted += units / toSeconds(m_settings.averagingTime);
            return std::nullopt;
        }
        // Until the level is back in the middle of the band and the present demand, served at the rate, has passed.
        const double refill = std::max(0.0, 0.5 - fullness) * band / rate;
        const double excess = std::max(0.0, demandedRate / rate - 1) * toSeconds(m_settings.averagingTime);
        return fromSeconds((refill + excess) * (1 + randomUnit(random) / 2) + toSeconds(m_settings.averagingTime) / 2);
    });
}

void AllotmentLimiter::refund(const std::string& team, double units, TimePoint now)
{
    const auto currentView = view(now);
    m_buckets.withShard(team, [&](Buckets& buckets) {
        const auto entry = buckets.find(team);
        if (entry == buckets.end() || entry->second.rate.unitsPerSecond <= 0)
            return;
        auto& bucket = entry->second;
        advance(bucket, currentView, now);
        bucket.level = std::min(bucket.level + units, capacity(bucket));
        bucket.own = decayedUsage(bucket, now);
        bucket.ownUpdatedAt = now;
        bucket.own.admitted -= units / toSeconds(m_settings.averagingTime);
    });
}

TeamUsages AllotmentLimiter::usage(TimePoint now) const
{
    TeamUsages usages;
    m_buckets.forEachShard([&](const Buckets& buckets) {
        for (const auto& [team, bucket] : buckets) {
            auto usage = decayedUsage(bucket, now);
            usage.admitted = std::max(0.0, usage.admitted);
            if (usage.offered >= minReportedUsage)
                usages[team] = usage;
        }
    });
    return usages;
}

void AllotmentLimiter::setRemoteUsage(const TeamUsages& usage, size_t knownNodes, size_t nodeCount, TimePoint now)
{
    // What was known so far counts up to now.
    const auto currentView = view(now);
    m_buckets.forEachShard([&](Buckets& buckets) {
        for (auto& [team, bucket] : buckets) {
            advance(bucket, currentView, now);
            const auto remote = usage.find(team);
            bucket.remote = remote == usage.end() ? TeamUsage {} : remote->second;
        }
    });
    std::lock_guard lock(m_viewMutex);
    m_view = { std::max<size_t>(1, knownNodes), std::max<size_t>(1, nodeCount), true };
    m_viewReceivedAt = now;
}

bool AllotmentLimiter::hasMajorityView(TimePoint now) const { return view(now).isMajority(); }

std::map<std::string, double> AllotmentLimiter::levels() const
{
    std::map<std::string, double> levels;
    m_buckets.forEachShard([&](const Buckets& buckets) {
        for (const auto& [team, bucket] : buckets) {
            if (bucket.rate.unitsPerSecond > 0)
                levels[team] = bucket.level;
        }
    });
    return levels;
}

AllotmentLimiter::View AllotmentLimiter::view(TimePoint now) const
{
    std::lock_guard lock(m_viewMutex);
    auto current = m_view;
    if (now - m_viewReceivedAt >= m_settings.viewLifetime && current.nodeCount > 1) {
        current.isCurrent = false;
        current.knownNodes = 1;
    }
    return current;
}

double AllotmentLimiter::usableFraction(const View& view) const
{
    if (view.isMajority())
        return 1;
    return m_settings.minorityFraction * static_cast<double>(view.knownNodes) / static_cast<double>(view.nodeCount);
}

void AllotmentLimiter::advance(Bucket& bucket, const View& view, TimePoint now) const
{
    if (now <= bucket.advancedAt)
        return;
    const double remoteRate = view.isCurrent ? bucket.remote.admitted : 0;
    const double gained
        = (bucket.rate.unitsPerSecond * usableFraction(view) - remoteRate) * toSeconds(now - bucket.advancedAt);
    bucket.level = std::min(bucket.level + gained, capacity(bucket));
    bucket.advancedAt = now;
}

TeamUsage AllotmentLimiter::decayedUsage(const Bucket& bucket, TimePoint now) const
{
    const double factor = std::exp(-toSeconds(now - bucket.ownUpdatedAt) / toSeconds(m_settings.averagingTime));
    return { bucket.own.offered * factor, bucket.own.admitted * factor };
}

double AllotmentLimiter::demand(const Bucket& bucket, const View& view)
{
    const double known = bucket.own.offered + (view.isCurrent ? bucket.remote.offered : 0);
    if (view.isMajority())
        return known;
    // A node that has just started or is cut off has seen too few requests to tell the demand.
    const double share = static_cast<double>(view.knownNodes) / static_cast<double>(view.nodeCount);
    return std::max(known, bucket.rate.unitsPerSecond * share);
}

} // namespace cyclamenstair

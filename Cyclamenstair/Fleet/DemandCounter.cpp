#include <Cyclamenstair/Fleet/DemandCounter.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair {

void DemandCounter::countArrival(const ArtifactKey& artifact, TimePoint now)
{
    m_counts.withShard(artifact.model, [&](auto& counts) {
        auto& count = counts[artifact];
        decay(count, now);
        count.arrivals += 1;
        ++count.inProgress;
    });
}

void DemandCounter::countCompletion(const ArtifactKey& artifact)
{
    m_counts.withShard(artifact.model, [&](auto& counts) {
        auto& count = counts[artifact];
        count.inProgress = std::max(0, count.inProgress - 1);
    });
}

void DemandCounter::countWaiting(const ArtifactKey& artifact, int delta)
{
    m_counts.withShard(artifact.model, [&](auto& counts) {
        auto& count = counts[artifact];
        count.waiting = std::max(0, count.waiting + delta);
    });
}

ArtifactWorkloads DemandCounter::demand(TimePoint now)
{
    constexpr double negligibleArrivalsPerSecond = 0.02;
    std::map<ArtifactKey, ArtifactWorkload> demand;
    m_counts.forEachShard([&](auto& counts) {
        for (auto& [artifact, count] : counts) {
            decay(count, now);
            const double rate = count.arrivals / toSeconds(averagingTime);
            if (rate > negligibleArrivalsPerSecond || count.inProgress > 0)
                demand[artifact]
                    = { rate, static_cast<uint32_t>(count.inProgress), static_cast<uint32_t>(count.waiting) };
        }
    });
    return demand;
}

void DemandCounter::decay(Count& count, TimePoint now)
{
    if (now > count.updatedAt)
        count.arrivals *= std::exp(-toSeconds(now - count.updatedAt) / toSeconds(averagingTime));
    count.updatedAt = now;
}

} // namespace cyclamenstair

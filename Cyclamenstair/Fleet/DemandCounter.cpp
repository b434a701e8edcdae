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
        for (auto entry = counts.begin(); entry != counts.end();) {
            auto& [artifact, count] = *entry;
            decay(count, now);
            const double rate = count.arrivals / toSeconds(averagingTime);
            const bool isNegligible = rate <= negligibleArrivalsPerSecond && count.inProgress == 0;
            if (!isNegligible)
                demand[artifact]
                    = { rate, static_cast<uint32_t>(count.inProgress), static_cast<uint32_t>(count.waiting) };
            // Callers can name any number of artifacts, so those without demand are not kept.
            if (isNegligible && count.waiting == 0)
                entry = counts.erase(entry);
            else
                ++entry;
        }
    });
    return demand;
}

size_t DemandCounter::size() const
{
    size_t size = 0;
    m_counts.forEachShard([&](const auto& counts) { size += counts.size(); });
    return size;
}

void DemandCounter::decay(Count& count, TimePoint now)
{
    if (now > count.updatedAt)
        count.arrivals *= std::exp(-toSeconds(now - count.updatedAt) / toSeconds(averagingTime));
    count.updatedAt = now;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Fleet/DemandCounter.h>

#include <Cyclamenstair/Core/Utf8.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair {

namespace {

    /// Longer names are not counted; the catalog's have a few dozen bytes.
    constexpr size_t maxNameBytes = 256;
    /// Further ones are not counted until demand() has removed some, so that callers do not fill a node's memory.
    constexpr size_t maxArtifactsPerShard = 2000;

    /// Callers can name artifacts that no target can hold: names in the platform's JSON texts are UTF-8.
    bool isCounted(const ArtifactKey& artifact)
    {
        return artifact.model.size() <= maxNameBytes && artifact.adapter.size() <= maxNameBytes
            && isUtf8(artifact.model) && isUtf8(artifact.adapter);
    }

} // namespace

void DemandCounter::countArrival(const ArtifactKey& artifact, TimePoint now)
{
    if (!isCounted(artifact))
        return;
    m_counts.withShard(artifact.model, [&](auto& counts) {
        if (counts.size() >= maxArtifactsPerShard && !counts.contains(artifact))
            return;
        auto& count = counts[artifact];
        decay(count, now);
        count.arrivals += 1;
        ++count.inProgress;
    });
}

void DemandCounter::countCompletion(const ArtifactKey& artifact)
{
    if (!isCounted(artifact))
        return;
    m_counts.withShard(artifact.model, [&](auto& counts) {
        const auto entry = counts.find(artifact);
        if (entry == counts.end())
            return;
        auto& count = entry->second;
        count.inProgress = std::max(0, count.inProgress - 1);
    });
}

void DemandCounter::countWaiting(const ArtifactKey& artifact, int delta)
{
    if (!isCounted(artifact))
        return;
    m_counts.withShard(artifact.model, [&](auto& counts) {
        if (counts.size() >= maxArtifactsPerShard && !counts.contains(artifact))
            return;
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

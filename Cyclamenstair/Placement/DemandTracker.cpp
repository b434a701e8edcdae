#include <Cyclamenstair/Placement/DemandTracker.h>

#include <cmath>

namespace cyclamenstair {

void DemandTracker::record(const std::string& artifact, TimePoint now, double requests)
{
    m_averages.withShard(artifact, [&](Averages& averages) {
        auto& average = averages.try_emplace(artifact, Average { {}, now }).first->second;
        decay(average, now);
        average.demand.fast += requests / toSeconds(m_settings.fastTimeConstant);
        average.demand.slow += requests / toSeconds(m_settings.slowTimeConstant);
    });
}

DemandByArtifact DemandTracker::demand(TimePoint now)
{
    DemandByArtifact demands;
    m_averages.forEachShard([&](Averages& averages) {
        for (auto entry = averages.begin(); entry != averages.end();) {
            decay(entry->second, now);
            if (entry->second.demand.peak() < m_settings.minDemand) {
                entry = averages.erase(entry);
                continue;
            }
            demands[entry->first] = entry->second.demand;
            ++entry;
        }
    });
    return demands;
}

void DemandTracker::decay(Average& average, TimePoint now) const
{
    // Threads read the clock before they acquire the lock, so `now` can be slightly before the last update.
    if (now <= average.updatedAt)
        return;
    const double elapsed = toSeconds(now - average.updatedAt);
    average.demand.fast *= std::exp(-elapsed / toSeconds(m_settings.fastTimeConstant));
    average.demand.slow *= std::exp(-elapsed / toSeconds(m_settings.slowTimeConstant));
    average.updatedAt = now;
}

} // namespace cyclamenstair

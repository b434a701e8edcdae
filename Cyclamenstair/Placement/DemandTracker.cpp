#include <Cyclamenstair/Placement/DemandTracker.h>

#include <cmath>

namespace cyclamenstair {

void DemandTracker::record(const std::string& artifact, TimePoint now, double requests)
{
    m_averages.withShard(artifact, [&](Averages& averages) {
        auto& average = averages.try_emplace(artifact, Average { {}, now }).first->second;
        decay(average, now);
        average.demand.fast += requests / toSeconds(m_settings.fastTime);
        average.demand.slow += requests / toSeconds(m_settings.slowTime);
    });
}

DemandByArtifact DemandTracker::demand(TimePoint now)
{
    DemandByArtifact all;
    m_averages.forEachShard([&](Averages& averages) {
        for (auto row = averages.begin(); row != averages.end();) {
            decay(row->second, now);
            if (row->second.demand.possible() < m_settings.negligible) {
                row = averages.erase(row);
                continue;
            }
            all[row->first] = row->second.demand;
            ++row;
        }
    });
    return all;
}

void DemandTracker::decay(Average& average, TimePoint now) const
{
    // Threads read the clock before they take the lock, so a time can be slightly older than the last one.
    if (now <= average.time)
        return;
    const double elapsed = toSeconds(now - average.time);
    average.demand.fast *= std::exp(-elapsed / toSeconds(m_settings.fastTime));
    average.demand.slow *= std::exp(-elapsed / toSeconds(m_settings.slowTime));
    average.time = now;
}

} // namespace cyclamenstair

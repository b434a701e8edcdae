#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace cyclamenstair {

/// Limits the rate of loads from the weight store over a sliding window. The first window allows only a few loads,
/// because the previous lease holder may have used up the rate just before.
class LoadRateLimiter {
public:
    /// Window over which the weight store's load rate applies.
    static constexpr Duration window = std::chrono::seconds(5);

    /// Maximum number of loads in the first window. The platform tolerates three loads above the rate in a window. Due
    /// to the takeover delay, the loads of at most two lease holders fall into one window.
    static constexpr size_t maxFirstWindowLoads = 3;

    explicit LoadRateLimiter(TimePoint start)
        : m_firstWindowEnd(start + window)
    {
    }

    /// Returns the number of loads that may be ordered now at the given rate over all targets.
    uint32_t availableLoads(double loadsPerSecond, TimePoint now);

    /// Returns whether a load may be ordered now at the given rate over all targets.
    bool mayLoad(double loadsPerSecond, TimePoint now) { return availableLoads(loadsPerSecond, now) > 0; }

    /// Counts a load that is being ordered. It counts also if its order remains unanswered.
    void recordLoad(TimePoint now) { m_loads.push_back(now); }

    /// Removes the load recorded at `recordedAt`, because the target refused it.
    void cancelLoad(TimePoint recordedAt);

private:
    TimePoint m_firstWindowEnd;
    std::deque<TimePoint> m_loads;
};

} // namespace cyclamenstair

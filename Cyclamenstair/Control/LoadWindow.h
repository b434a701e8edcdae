#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <cstddef>
#include <deque>

namespace cyclamenstair {

/// Bounds loads from the weight store over a sliding window. In the first window only a few are allowed, because a
/// former holder may have used its share just before.
class LoadWindow {
public:
    /// Length of the window over which the weight store's rate holds.
    static constexpr Duration window = std::chrono::seconds(5);

    /// Loads in the first window. The platform tolerates three beyond the rate in a window, and the first order of a
    /// new holder comes so late that the loads of no third one fall into the same window.
    static constexpr size_t firstWindowLoads = 3;

    explicit LoadWindow(TimePoint start)
        : m_firstWindowEnd(start + window)
    {
    }

    /// Returns whether a load may be ordered now at the given rate over all targets.
    bool mayLoad(double loadsPerSecond, TimePoint now);

    /// Counts a load that was ordered, or may have been.
    void count(TimePoint now) { m_loads.push_back(now); }

    /// Takes back the load counted at `countedAt`, which the target refused.
    void takeBack(TimePoint countedAt);

private:
    TimePoint m_firstWindowEnd;
    std::deque<TimePoint> m_loads;
};

} // namespace cyclamenstair

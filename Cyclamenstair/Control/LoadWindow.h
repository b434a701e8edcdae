#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <cstddef>
#include <deque>

namespace cyclamenstair {

/// Bounds loads from the weight store over a sliding window. Starts as if the window were full, because a former holder
/// may have just given its orders.
class LoadWindow {
public:
    /// Length of the window over which the weight store's rate holds.
    static constexpr Duration window = std::chrono::seconds(5);

    explicit LoadWindow(TimePoint start)
        : m_fullUntil(start + window)
    {
    }

    /// Returns whether a load may be ordered now at the given rate over all targets.
    bool mayLoad(double loadsPerSecond, TimePoint now);

    /// Counts a load that was ordered, or may have been.
    void count(TimePoint now) { m_loads.push_back(now); }

private:
    TimePoint m_fullUntil;
    std::deque<TimePoint> m_loads;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/Time.h>

namespace cyclamenstair {

/// Processor time of a process with a share of a core: it runs at full speed until it has used the share of a period,
/// and not at all for the rest of the period. What it does not use expires; what it uses too much is taken from the
/// next periods.
class ProcessorAllotment {
public:
    static constexpr auto period = milliseconds(100);

    /// `used` is the processor time of the process so far, here and in update().
    ProcessorAllotment(double share, TimePoint now, Duration used);

    /// Moves on to the period of `now`.
    void update(TimePoint now, Duration used);

    /// Returns the processor time that is left in the period, as of the last update; zero if it is used up.
    Duration remaining() const { return m_remaining; }

    TimePoint periodEnd() const { return m_periodEnd; }

private:
    Duration m_allotment; ///< Of a period.
    Duration m_limit; ///< Total processor time at which the allotment of the period is used up.
    Duration m_remaining;
    TimePoint m_periodEnd;
};

} // namespace cyclamenstair

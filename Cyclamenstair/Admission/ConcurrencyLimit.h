#pragma once

#include <Cyclamenstair/Core/Time.h>

namespace cyclamenstair {

/// Bounds of a ConcurrencyLimit.
struct ConcurrencyBounds {
    double minLimit { 2 };
    double maxLimit { 16 };
    double initialLimit { 16 }; ///< Limit before the first observation.
};

/// Adaptive limit of requests in flight, based on the node's own service times.
///
/// Several nodes share the targets, so that none knows their total load. The limit increases additively while the time
/// per unit of work is within `congestionFactor` times its minimum, and decreases multiplicatively above that. Nodes
/// that observe the same congestion thereby converge to equal shares. Not thread-safe.
class ConcurrencyLimit {
public:
    /// Time per unit of work, relative to its minimum, above which the targets count as congested. At 2, about as many
    /// requests are queued inside the targets as are running.
    static constexpr double congestionFactor = 2.0;

    void setBounds(const ConcurrencyBounds& bounds);

    /// Records a complete response. `inFlight` is the number of requests in flight at its end.
    void observe(Duration serviceTime, double work, size_t inFlight, TimePoint now);

    size_t limit() const { return static_cast<size_t>(m_limit); }

    /// Minimum time per unit of work, in seconds; 0 before the first full group of responses.
    double minUnitTime() const { return m_minUnitTime; }

private:
    void finishGroup(TimePoint now);

    ConcurrencyBounds m_bounds;
    double m_limit { 0 };
    double m_minUnitTime { 0 };
    TimePoint m_minUnitTimeUpdatedAt;
    TimePoint m_limitChangedAt;
    double m_groupSeconds { 0 };
    double m_groupWork { 0 };
    size_t m_groupSize { 0 };
    size_t m_groupMaxInFlight { 0 };
};

} // namespace cyclamenstair

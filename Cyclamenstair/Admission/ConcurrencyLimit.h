#pragma once

#include <Cyclamenstair/Core/Time.h>

namespace cyclamenstair {

/// Bounds of a ConcurrencyLimit.
struct ConcurrencyBounds {
    double least { 2 };
    double most { 16 };
    double start { 16 }; ///< Limit before the first observations.
};

/// Limit of requests in flight, learned from the node's own service times.
///
/// Several nodes share the targets, so that none knows the load. The limit grows by addition while the time for a unit
/// of work stays within `tolerance` of the least one seen, and shrinks by multiplication beyond it. Nodes that see the
/// same congestion thereby come to equal shares. One thread at a time may use an instance.
class ConcurrencyLimit {
public:
    /// Time of a unit of work relative to its least value at which the targets count as congested. At 2, the requests
    /// that wait inside the targets are about as many as those that run.
    static constexpr double tolerance = 2.0;

    void setBounds(const ConcurrencyBounds& bounds);

    /// Takes the observation of one complete answer, of which `inFlight` others ran at the time.
    void observe(Duration serviceTime, double work, size_t inFlight, TimePoint now);

    size_t limit() const { return static_cast<size_t>(m_limit); }

    /// Least time of a unit of work in seconds; 0 before the first full group of observations.
    double leastUnitTime() const { return m_leastUnitTime; }

private:
    void endGroup(TimePoint now);

    ConcurrencyBounds m_bounds;
    double m_limit { 0 };
    double m_leastUnitTime { 0 };
    TimePoint m_leastTime;
    TimePoint m_changedAt;
    double m_seconds { 0 };
    double m_work { 0 };
    size_t m_answers { 0 };
    size_t m_mostInFlight { 0 };
};

} // namespace cyclamenstair

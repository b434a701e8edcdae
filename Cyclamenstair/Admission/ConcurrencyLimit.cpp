#include <Cyclamenstair/Admission/ConcurrencyLimit.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Answers that are judged together, at least; single service times vary too much.
    constexpr size_t leastGroup = 8;

    /// Least and most that a group keeps of the limit when the targets are congested.
    constexpr double leastKept = 0.5;
    constexpr double mostKept = 0.9;

    /// Growth as a share of the limit, so that large limits follow a tenfold swing within a few groups.
    constexpr double growthShare = 0.05;

    /// Use of the limit below which an observation says nothing about a higher one.
    constexpr double fullUse = 0.8;

    /// Growth of the least unit time per second. It lets the limit follow targets that became slower for good, and is
    /// slow enough that an hour of congestion is not taken for their normal speed.
    constexpr double leastTimeDrift = 0.0002;

} // namespace

void ConcurrencyLimit::setBounds(const ConcurrencyBounds& bounds)
{
    m_bounds = bounds;
    if (m_limit == 0)
        m_limit = bounds.start;
    m_limit = std::clamp(m_limit, bounds.least, std::max(bounds.least, bounds.most));
}

void ConcurrencyLimit::observe(Duration serviceTime, double work, size_t inFlight, TimePoint now)
{
    m_seconds += toSeconds(serviceTime);
    m_work += work;
    m_mostInFlight = std::max(m_mostInFlight, inFlight);
    // Answers to requests that were sent before the last change say nothing about the present limit.
    const auto sentAt = now - serviceTime;
    if (++m_answers >= leastGroup && sentAt >= m_changedAt)
        endGroup(now);
}

void ConcurrencyLimit::endGroup(TimePoint now)
{
    const double unitTime = m_seconds / m_work;
    if (m_leastUnitTime > 0)
        m_leastUnitTime *= 1 + leastTimeDrift * toSeconds(now - m_leastTime);
    if (m_leastUnitTime == 0 || unitTime < m_leastUnitTime)
        m_leastUnitTime = unitTime;
    m_leastTime = now;
    m_changedAt = now;

    if (unitTime > tolerance * m_leastUnitTime)
        m_limit *= std::clamp(tolerance * m_leastUnitTime / unitTime, leastKept, mostKept);
    else if (static_cast<double>(m_mostInFlight) >= fullUse * m_limit)
        m_limit += std::max(1.0, growthShare * m_limit);
    m_limit = std::clamp(m_limit, m_bounds.least, std::max(m_bounds.least, m_bounds.most));
    m_seconds = 0;
    m_work = 0;
    m_answers = 0;
    m_mostInFlight = 0;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Admission/ConcurrencyLimit.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Minimum number of responses evaluated together, because single service times vary too much.
    constexpr size_t minGroupSize = 8;

    /// Range of the factor that decreases the limit when the targets are congested.
    constexpr double minDecreaseFactor = 0.5;
    constexpr double maxDecreaseFactor = 0.9;

    /// Growth as a fraction of the limit, so that large limits follow a tenfold load change within a few groups.
    constexpr double growthFraction = 0.05;

    /// Utilization of the limit below which a group gives no evidence for a higher limit.
    constexpr double minUtilizationForGrowth = 0.8;

    /// Relative growth of the minimum unit time per second. It lets the limit adapt to permanently slower targets, and
    /// is low enough that an hour of congestion is not mistaken for their normal speed.
    constexpr double minUnitTimeDriftPerSecond = 0.0002;

} // namespace

void ConcurrencyLimit::setBounds(const ConcurrencyBounds& bounds)
{
    m_bounds = bounds;
    if (m_limit == 0)
        m_limit = bounds.initialLimit;
    m_limit = std::clamp(m_limit, bounds.minLimit, std::max(bounds.minLimit, bounds.maxLimit));
}

void ConcurrencyLimit::observe(Duration serviceTime, double work, size_t inFlight, TimePoint now)
{
    m_groupSeconds += toSeconds(serviceTime);
    m_groupWork += work;
    m_groupMaxInFlight = std::max(m_groupMaxInFlight, inFlight);
    // Responses to requests sent before the last change are not evidence about the current limit.
    const auto sentAt = now - serviceTime;
    if (++m_groupSize >= minGroupSize && sentAt >= m_limitChangedAt)
        finishGroup(now);
}

void ConcurrencyLimit::finishGroup(TimePoint now)
{
    const double unitTime = m_groupSeconds / m_groupWork;
    if (m_minUnitTime > 0)
        m_minUnitTime *= 1 + minUnitTimeDriftPerSecond * toSeconds(now - m_minUnitTimeUpdatedAt);
    if (m_minUnitTime == 0 || unitTime < m_minUnitTime)
        m_minUnitTime = unitTime;
    m_minUnitTimeUpdatedAt = now;
    m_limitChangedAt = now;

    if (unitTime > congestionFactor * m_minUnitTime)
        m_limit *= std::clamp(congestionFactor * m_minUnitTime / unitTime, minDecreaseFactor, maxDecreaseFactor);
    else if (static_cast<double>(m_groupMaxInFlight) >= minUtilizationForGrowth * m_limit)
        m_limit += std::max(1.0, growthFraction * m_limit);
    m_limit = std::clamp(m_limit, m_bounds.minLimit, std::max(m_bounds.minLimit, m_bounds.maxLimit));
    m_groupSeconds = 0;
    m_groupWork = 0;
    m_groupSize = 0;
    m_groupMaxInFlight = 0;
}

} // namespace cyclamenstair

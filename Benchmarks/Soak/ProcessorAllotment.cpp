#include <Benchmarks/Soak/ProcessorAllotment.h>

#include <algorithm>

namespace cyclamenstair {

ProcessorAllotment::ProcessorAllotment(double share, TimePoint now, Duration used)
    : m_allotment(std::chrono::duration_cast<Duration>(share * std::chrono::duration<double>(period)))
    , m_limit(used + m_allotment)
    , m_remaining(m_allotment)
    , m_periodEnd(now + period)
{
}

void ProcessorAllotment::update(TimePoint now, Duration used)
{
    if (now >= m_periodEnd) {
        const auto elapsedPeriods = (now - m_periodEnd) / period;
        const auto excess = std::max(used - m_limit - elapsedPeriods * m_allotment, Duration::zero());
        m_limit = used - excess + m_allotment;
        m_periodEnd += (elapsedPeriods + 1) * period;
    }
    m_remaining = std::max(m_limit - used, Duration::zero());
}

} // namespace cyclamenstair

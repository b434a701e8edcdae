#include <Cyclamenstair/Control/LoadRateLimiter.h>

#include <algorithm>

namespace cyclamenstair {

uint32_t LoadRateLimiter::availableLoads(double loadsPerSecond, TimePoint now)
{
    while (!m_loads.empty() && now - m_loads.front() >= window)
        m_loads.pop_front();
    auto limit = static_cast<size_t>(std::max(0.0, loadsPerSecond * toSeconds(window)));
    if (now < m_firstWindowEnd)
        limit = std::min(limit, maxFirstWindowLoads);
    return static_cast<uint32_t>(limit - std::min(limit, m_loads.size()));
}

void LoadRateLimiter::cancelLoad(TimePoint recordedAt)
{
    const auto load = std::find(m_loads.begin(), m_loads.end(), recordedAt);
    if (load != m_loads.end())
        m_loads.erase(load);
}

} // namespace cyclamenstair

#include <Cyclamenstair/Control/LoadRateLimiter.h>

#include <algorithm>

namespace cyclamenstair {

bool LoadRateLimiter::mayLoad(double loadsPerSecond, TimePoint now)
{
    while (!m_loads.empty() && now - m_loads.front() >= window)
        m_loads.pop_front();
    if (now < m_firstWindowEnd && m_loads.size() >= maxFirstWindowLoads)
        return false;
    return static_cast<double>(m_loads.size()) + 1 <= loadsPerSecond * toSeconds(window);
}

void LoadRateLimiter::cancelLoad(TimePoint recordedAt)
{
    const auto load = std::find(m_loads.begin(), m_loads.end(), recordedAt);
    if (load != m_loads.end())
        m_loads.erase(load);
}

} // namespace cyclamenstair

#include <Cyclamenstair/Control/LoadWindow.h>

#include <algorithm>

namespace cyclamenstair {

bool LoadWindow::mayLoad(double loadsPerSecond, TimePoint now)
{
    while (!m_loads.empty() && now - m_loads.front() >= window)
        m_loads.pop_front();
    if (now < m_firstWindowEnd && m_loads.size() >= firstWindowLoads)
        return false;
    return static_cast<double>(m_loads.size()) + 1 <= loadsPerSecond * toSeconds(window);
}

void LoadWindow::takeBack(TimePoint countedAt)
{
    const auto counted = std::find(m_loads.begin(), m_loads.end(), countedAt);
    if (counted != m_loads.end())
        m_loads.erase(counted);
}

} // namespace cyclamenstair

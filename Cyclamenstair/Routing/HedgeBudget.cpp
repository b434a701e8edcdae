#include <Cyclamenstair/Routing/HedgeBudget.h>

#include <algorithm>

namespace cyclamenstair {

void HedgeBudget::countRequest()
{
    std::lock_guard lock(m_mutex);
    m_saved = std::min(m_settings.maxSaved, m_saved + m_settings.share);
}

bool HedgeBudget::take()
{
    std::lock_guard lock(m_mutex);
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

void HedgeBudget::charge()
{
    std::lock_guard lock(m_mutex);
    // The debt is bounded, so that hedges come back soon after a failure of many targets.
    m_saved = std::max(-m_settings.maxSaved, m_saved - 1);
}

} // namespace cyclamenstair

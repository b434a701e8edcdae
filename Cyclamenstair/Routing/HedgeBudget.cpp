#include <Cyclamenstair/Routing/HedgeBudget.h>

#include <algorithm>

namespace cyclamenstair {

void HedgeBudget::recordRequest()
{
    std::lock_guard lock(m_mutex);
    m_credit = std::min(m_settings.maxCredit, m_credit + m_settings.share);
}

bool HedgeBudget::tryAcquire()
{
    std::lock_guard lock(m_mutex);
    if (m_credit < 1)
        return false;
    m_credit -= 1;
    return true;
}

void HedgeBudget::chargeAttempt()
{
    std::lock_guard lock(m_mutex);
    // The debt is bounded, so that hedging resumes soon after many targets have failed.
    m_credit = std::max(-m_settings.maxCredit, m_credit - 1);
}

} // namespace cyclamenstair

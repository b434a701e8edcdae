#include <Cyclamenstair/Fleet/TargetReach.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair {

void TargetReach::recordSent(const std::string& target, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_silentTargets.insert(target);
    if (!m_silentSince)
        m_silentSince = now;
}

void TargetReach::recordReceived(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_receivedAt = now;
    m_silentTargets.clear();
    m_silentSince.reset();
}

bool TargetReach::recordConnected()
{
    std::lock_guard lock(m_mutex);
    m_failedTargets.clear();
    m_silentTargets.clear();
    m_silentSince.reset();
    return m_isIsolated.exchange(false);
}

bool TargetReach::recordConnectFailure(const std::string& target, size_t targetCount)
{
    std::lock_guard lock(m_mutex);
    m_failedTargets.insert(target);
    const auto fraction
        = static_cast<size_t>(std::ceil(static_cast<double>(targetCount) * m_settings.isolationFraction));
    const auto bounded = std::clamp(fraction, m_settings.minFailedTargets, m_settings.maxFailedTargets);
    if (m_failedTargets.size() < std::max<size_t>(1, std::min(bounded, targetCount)))
        return false;
    return !m_isIsolated.exchange(true);
}

bool TargetReach::isCutOff(TimePoint now) const
{
    if (!m_isIsolated)
        return false;
    std::lock_guard lock(m_mutex);
    return now - m_receivedAt >= m_settings.openConnectionSilence;
}

bool TargetReach::isSuspect(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    if (m_failedTargets.size() >= m_settings.minFailedTargets)
        return true;
    const auto limit = m_silentTargets.size() > 1 ? m_settings.silenceOfSeveral : m_settings.silenceOfOne;
    return m_silentSince && now - *m_silentSince >= limit;
}

std::set<std::string> TargetReach::failedTargets() const
{
    std::lock_guard lock(m_mutex);
    return m_failedTargets;
}

} // namespace cyclamenstair

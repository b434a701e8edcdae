#include <Cyclamenstair/Fleet/TargetPace.h>

#include <algorithm>

namespace cyclamenstair {

bool TargetPace::updateFullPace(uint32_t slots, const TargetPaceSettings& settings, TimePoint now)
{
    if (m_restartedAt && window(slots, settings, now) >= slots) {
        m_restartedAt.reset();
        m_ownAnswers = 0;
    }
    return !m_restartedAt;
}

double TargetPace::window(uint32_t slots, const TargetPaceSettings& settings, TimePoint now) const
{
    if (!m_restartedAt)
        return slots;
    const double elapsed = toSeconds(now - *m_restartedAt) / toSeconds(settings.fullPaceTime);
    const double initial = std::max(settings.minInitialWindow, settings.initialFraction * slots);
    return initial + m_ownAnswers + m_remoteAnswers + std::max(0.0, elapsed) * slots;
}

} // namespace cyclamenstair

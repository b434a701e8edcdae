#include <Cyclamenstair/Membership/LeaseState.h>

namespace cyclamenstair {

LeaseState::LeaseState(Duration timeToLive)
    : m_timeToLive(timeToLive)
{
}

void LeaseState::setGranted(int64_t leaseId, TimePoint callStartedAt)
{
    m_leaseId = leaseId;
    m_calledAt = callStartedAt;
}

void LeaseState::setRenewed(TimePoint callStartedAt) { m_calledAt = callStartedAt; }

void LeaseState::setLost() { m_leaseId = 0; }

bool LeaseState::isCurrent(TimePoint now) const
{
    return m_leaseId != 0 && now - m_calledAt < m_timeToLive - m_timeToLive / 10;
}

LeaseAction LeaseState::nextAction(TimePoint now) const
{
    if (m_leaseId == 0)
        return LeaseAction::Grant;
    return now - m_calledAt >= m_timeToLive / 3 ? LeaseAction::Renew : LeaseAction::Wait;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Control/OrderLease.h>

#include <algorithm>

namespace cyclamenstair {

void OrderLease::markAcquired(int64_t fencingToken, TimePoint sentAt, TimePoint now, std::optional<TimePoint> eraSeenAt)
{
    m_fencingToken = fencingToken;
    m_renewedAt = sentAt;
    m_ordersAllowedFrom = now + m_settings.takeoverDelay;
    if (eraSeenAt)
        m_ordersAllowedFrom = std::max(m_ordersAllowedFrom, *eraSeenAt + m_settings.newEraDelay);
}

void OrderLease::markRenewed(TimePoint sentAt) { m_renewedAt = std::max(m_renewedAt, sentAt); }

bool OrderLease::mayOrder(TimePoint now) const
{
    return isHeld() && now >= m_ordersAllowedFrom && now - m_renewedAt < m_settings.renewalValidity;
}

} // namespace cyclamenstair

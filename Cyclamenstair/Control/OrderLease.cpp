#include <Cyclamenstair/Control/OrderLease.h>

#include <algorithm>

namespace cyclamenstair {

void OrderLease::markAcquired(int64_t fencingToken, TimePoint sentAt, TimePoint now)
{
    m_fencingToken = fencingToken;
    m_renewedAt = sentAt;
    m_ordersAllowedFrom = now + m_settings.takeoverDelay;
}

void OrderLease::markRenewed(TimePoint sentAt) { m_renewedAt = std::max(m_renewedAt, sentAt); }

bool OrderLease::mayOrder(TimePoint now) const
{
    return isHeld() && now >= m_ordersAllowedFrom && now - m_renewedAt < m_settings.renewalValidity;
}

} // namespace cyclamenstair

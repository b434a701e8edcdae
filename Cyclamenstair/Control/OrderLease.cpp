#include <Cyclamenstair/Control/OrderLease.h>

#include <algorithm>

namespace cyclamenstair {

void OrderLease::taken(int64_t fencingNumber, TimePoint sentAt, TimePoint now)
{
    m_fencingNumber = fencingNumber;
    m_renewedAt = sentAt;
    m_ordersFrom = now + m_settings.takeoverWait;
}

void OrderLease::renewed(TimePoint sentAt) { m_renewedAt = std::max(m_renewedAt, sentAt); }

bool OrderLease::mayOrder(TimePoint now) const
{
    return isHeld() && now >= m_ordersFrom && now - m_renewedAt < m_settings.validity;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Node/PortionLease.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <cassert>

namespace cyclamenstair {

namespace {

    constexpr Duration leaseDuration = milliseconds(60'000);
    /// A third of the lease duration, so that one failed store call does not let the lease expire.
    constexpr Duration renewalInterval = leaseDuration / 3;
    constexpr Duration retryInterval = milliseconds(2000);

    uint64_t unixMilliseconds()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

} // namespace

PortionLease::PortionLease(
    StoreClient& store, const std::string& limit, std::string holder, HasProcessEnded hasProcessEnded)
    : m_store(&store)
    , m_key("portion/" + limit)
    , m_limit(limit)
    , m_holder(std::move(holder))
    , m_hasProcessEnded(std::move(hasProcessEnded))
{
}

void PortionLease::renew(uint32_t requestedSlots, uint32_t totalSlots)
{
    const auto now = monotonicNow();
    if (requestedSlots == m_requestedSlots && now < m_nextRenewalAt)
        return;
    m_nextRenewalAt = now + retryInterval;
    m_requestedSlots = requestedSlots;
    const auto read = m_store->range(m_key);
    const auto* range = std::get_if<StoreRange>(&read);
    if (!range)
        return;
    auto portions = range->records.empty() ? LeasedPortions(m_limit) : decodePortions(range->records.front().value);
    const auto revision = range->records.empty() ? 0 : range->records.front().modRevision;
    portions.reclaim(unixMilliseconds(), m_hasProcessEnded);
    uint32_t usedSlots = 0;
    {
        std::lock_guard lock(m_mutex);
        // Apply a reduction before the write, because the write may take effect even if its outcome is unknown.
        m_slots = std::min(m_slots, requestedSlots);
        usedSlots = m_usedSlots;
    }
    const auto grantedSlots = portions.renew(
        m_holder, requestedSlots, usedSlots, totalSlots, unixMilliseconds() + toMilliseconds(leaseDuration));
    if (!writeRecord(portions, revision))
        return;
    // Even without a granted slot, one load at a time is allowed, because the portion of a terminated holder cannot be
    // reclaimed until it expires. This can exceed the limit by one load per coordinator, which slows loads down;
    // without it, the models of the terminated coordinator would stay unreachable.
    if (grantedSlots == 0 && requestedSlots > 0)
        logEvent(LogSeverity::Warning, "portion_not_granted", { { "limit", m_limit }, { "holder", m_holder } });
    setSlots(std::clamp(grantedSlots, std::min(1U, requestedSlots), std::max(1U, requestedSlots)), now + leaseDuration);
    // Retry soon if fewer slots were granted than requested, because another holder may release some.
    m_nextRenewalAt = now + (grantedSlots < std::min(requestedSlots, totalSlots) ? retryInterval : renewalInterval);
}

void PortionLease::releaseLease()
{
    {
        std::lock_guard lock(m_mutex);
        if (m_slots == 0 || m_usedSlots > 0)
            return;
        m_slots = 0;
    }
    m_requestedSlots = 0;
    const auto read = m_store->range(m_key);
    const auto* range = std::get_if<StoreRange>(&read);
    if (!range || range->records.empty())
        return;
    auto portions = decodePortions(range->records.front().value);
    portions.release(m_holder);
    if (writeRecord(portions, range->records.front().modRevision))
        logEvent(LogSeverity::Info, "portion_surrendered", { { "limit", m_limit }, { "holder", m_holder } });
}

bool PortionLease::tryAcquireSlot()
{
    std::lock_guard lock(m_mutex);
    if (m_usedSlots >= m_slots || monotonicNow() >= m_expiresAt)
        return false;
    ++m_usedSlots;
    return true;
}

void PortionLease::releaseSlot()
{
    std::lock_guard lock(m_mutex);
    assert(m_usedSlots > 0);
    --m_usedSlots;
}

uint32_t PortionLease::freeSlots() const
{
    std::lock_guard lock(m_mutex);
    return m_slots > m_usedSlots && monotonicNow() < m_expiresAt ? m_slots - m_usedSlots : 0;
}

bool PortionLease::writeRecord(const LeasedPortions& portions, int64_t revision)
{
    const auto encoded = encodePortions(portions);
    StoreTransaction transaction;
    transaction.compares.push_back({ m_key, revision });
    transaction.mutations.emplace_back(StorePut { m_key, encoded });
    const auto outcome
        = m_store->transactAndConfirm(transaction, m_key, [&](const std::string& value) { return value == encoded; });
    return std::holds_alternative<StoreApplied>(outcome);
}

void PortionLease::setSlots(uint32_t slots, TimePoint expiresAt)
{
    std::lock_guard lock(m_mutex);
    m_slots = slots;
    m_expiresAt = expiresAt;
}

} // namespace cyclamenstair

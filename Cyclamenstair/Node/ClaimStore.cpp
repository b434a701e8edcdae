#include <Cyclamenstair/Node/ClaimStore.h>

#include <Cyclamenstair/Codec/ClaimCodec.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    constexpr auto leaseShareTime = std::chrono::hours(1);

    /// A claim made at the end of the lease's shared hour still lasts for the retention of 24 hours.
    constexpr auto leaseTimeToLive = std::chrono::hours(25);

    /// Time after a failed grant within which no other is tried, so that callers don't wait for a store that is down.
    constexpr Duration leaseRetryPause = milliseconds(300);

    /// Ends of claims that wait for the store. A lost one makes a repeat unknown but never runs a call twice.
    constexpr size_t maxQueued = 4096;

    constexpr Duration idlePause = std::chrono::minutes(1);
    constexpr Duration retryPause = milliseconds(500);
    constexpr int maxSettleSteps = 4;

} // namespace

ClaimStore::ClaimStore(StoreClient& store)
    : m_store(&store)
    , m_thread("claim-settle", [this] { return settleQueued(); })
{
}

std::optional<int64_t> ClaimStore::lease()
{
    std::lock_guard lock(m_leaseMutex);
    const auto now = monotonicNow();
    if (m_leaseId != 0 && now - m_leaseTime < leaseShareTime)
        return m_leaseId;
    if (m_leaseFailure != TimePoint() && now - m_leaseFailure < leaseRetryPause)
        return std::nullopt;
    const auto granted = m_store->grantLease(leaseTimeToLive);
    if (!granted) {
        m_leaseFailure = monotonicNow();
        return std::nullopt;
    }
    m_leaseId = *granted;
    m_leaseTime = now;
    return granted;
}

void ClaimStore::forgetLease()
{
    std::lock_guard lock(m_leaseMutex);
    m_leaseId = 0;
}

StoreWriteOutcome ClaimStore::write(const Pending& pending, bool isSettled)
{
    const auto leaseId = lease();
    if (!leaseId)
        return StoreNotApplied { StoreRefusal::NotSent, "no lease" };
    const auto value = encodeClaim(pending.record);
    const StoreTransaction transaction { { { pending.key, pending.revision } },
        { StorePut { pending.key, value, *leaseId } } };
    const auto isOwn = [&](const std::string& found) { return found == value; };
    auto outcome
        = isSettled ? m_store->transactAndConfirm(transaction, pending.key, isOwn) : m_store->transact(transaction);
    const auto* refused = std::get_if<StoreNotApplied>(&outcome);
    if (refused && refused->refusal == StoreRefusal::Rejected)
        forgetLease(); // The store rejects writes with a lease that it does not know.
    return outcome;
}

BookingEvent ClaimStore::claim(const std::string& key, const ClaimRecord& claim, int64_t revision)
{
    return std::visit(Overloaded {
                          [](const StoreApplied& applied) -> BookingEvent { return ClaimWritten { applied.revision }; },
                          [](const StoreNotApplied& refused) -> BookingEvent {
                              if (refused.refusal == StoreRefusal::Conflict)
                                  return ClaimWriteConflict {};
                              return ClaimWriteRefused {};
                          },
                          [](const StoreOutcomeUnknown&) -> BookingEvent { return ClaimWriteUnknown {}; },
                      },
        write({ key, claim, revision }, true));
}

BookingEvent ClaimStore::read(const std::string& key)
{
    const auto outcome = m_store->range(key);
    const auto* range = std::get_if<StoreRange>(&outcome);
    if (!range)
        return ClaimReadFailed {};
    if (range->records.empty())
        return ClaimReadAbsent {};
    return ClaimRead { decodeClaim(range->records.front().value), range->records.front().modRevision };
}

void ClaimStore::settle(const std::string& key, const ClaimRecord& end, int64_t revision)
{
    Pending pending { key, end, revision };
    bool isStoreFailing = false;
    {
        std::lock_guard lock(m_queueMutex);
        isStoreFailing = !m_queue.empty();
    }
    // The caller waits, so there is one call at most and none while earlier ones fail.
    if (isStoreFailing || !std::holds_alternative<StoreApplied>(write(pending, false)))
        enqueue(std::move(pending));
}

void ClaimStore::release(const std::string& key, ClaimRecord claim, int64_t revision)
{
    claim.state = ClaimState::Released;
    enqueue({ key, std::move(claim), revision });
}

void ClaimStore::enqueue(Pending pending)
{
    {
        std::lock_guard lock(m_queueMutex);
        if (m_queue.size() >= maxQueued) {
            logEvent(LogSeverity::Warning, "claim_end_dropped", { { "key", m_queue.front().key } });
            m_queue.pop_front();
        }
        m_queue.push_back(std::move(pending));
    }
    m_thread.wake();
}

Duration ClaimStore::settleQueued()
{
    for (;;) {
        Pending pending;
        {
            std::lock_guard lock(m_queueMutex);
            if (m_queue.empty())
                return idlePause;
            pending = m_queue.front();
        }
        if (!trySettle(pending))
            return retryPause;
        std::lock_guard lock(m_queueMutex);
        // The front may have been dropped meanwhile.
        if (!m_queue.empty() && m_queue.front().record.token == pending.record.token)
            m_queue.pop_front();
    }
}

bool ClaimStore::trySettle(Pending& pending)
{
    for (int step = 0; step < maxSettleSteps; ++step) {
        const auto outcome = write(pending, true);
        if (std::holds_alternative<StoreApplied>(outcome))
            return true;
        const auto* refused = std::get_if<StoreNotApplied>(&outcome);
        if (!refused || refused->refusal != StoreRefusal::Conflict)
            return false;

        // The record stands at another revision: find out whether the claim is still this one.
        const auto event = read(pending.key);
        if (std::holds_alternative<ClaimReadFailed>(event))
            return false;
        const auto* found = std::get_if<ClaimRead>(&event);
        if (found && (found->record.token != pending.record.token || found->record.state != ClaimState::Claimed))
            return true;
        // A released record is also written where none was found, so that a late copy of the claim cannot take effect.
        if (!found && pending.record.state != ClaimState::Released)
            return true;
        pending.revision = found ? found->revision : 0;
    }
    return false;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Node/ClaimStore.h>

#include <Cyclamenstair/Codec/ClaimCodec.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    /// Period for which new claims share a lease, so that a claim needs no lease grant of its own.
    constexpr auto leaseReuseDuration = std::chrono::hours(1);

    /// Keeps a claim made at the end of the shared hour for the full retention time of 24 hours.
    constexpr auto leaseTtl = std::chrono::hours(25);

    /// Delay before the next attempt after a failed grant, so that callers do not wait for an unavailable store.
    constexpr Duration leaseRetryDelay = milliseconds(300);

    /// Maximum number of queued final records. If one is dropped, a retry is reported as unknown, but no request runs
    /// twice.
    constexpr size_t maxQueuedWrites = 4096;

    constexpr Duration idleInterval = std::chrono::minutes(1);
    constexpr Duration retryDelay = milliseconds(500);
    constexpr int maxWriteAttempts = 4;

} // namespace

ClaimStore::ClaimStore(StoreClient& store)
    : m_store(&store)
    , m_thread("claim-settle", [this] { return writeQueued(); })
{
}

std::optional<int64_t> ClaimStore::currentLease()
{
    std::lock_guard lock(m_leaseMutex);
    const auto now = monotonicNow();
    if (m_leaseId != 0 && now - m_leaseGrantedAt < leaseReuseDuration)
        return m_leaseId;
    if (m_leaseFailedAt != TimePoint() && now - m_leaseFailedAt < leaseRetryDelay)
        return std::nullopt;
    const auto granted = m_store->grantLease(leaseTtl);
    if (!granted) {
        m_leaseFailedAt = monotonicNow();
        return std::nullopt;
    }
    m_leaseId = *granted;
    m_leaseGrantedAt = now;
    return granted;
}

void ClaimStore::resetLease()
{
    std::lock_guard lock(m_leaseMutex);
    m_leaseId = 0;
}

StoreWriteOutcome ClaimStore::write(const PendingWrite& pending, bool isVerified)
{
    const auto leaseId = currentLease();
    if (!leaseId)
        return StoreNotApplied { StoreRefusal::NotSent, "the store granted no lease for the claim" };
    const auto value = encodeClaim(pending.record);
    const StoreTransaction transaction { { { pending.key, pending.revision } },
        { StorePut { pending.key, value, *leaseId } } };
    const auto isOwnWrite = [&](const std::string& found) { return found == value; };
    auto outcome = isVerified ? m_store->transactAndConfirm(transaction, pending.key, isOwnWrite)
                              : m_store->transact(transaction);
    const auto* rejected = std::get_if<StoreNotApplied>(&outcome);
    if (rejected && rejected->refusal == StoreRefusal::Rejected)
        resetLease(); // The store rejects writes whose lease has expired or is unknown.
    return outcome;
}

BookingEvent ClaimStore::writeClaim(const std::string& key, const ClaimRecord& claim, int64_t revision)
{
    return std::visit(Overloaded {
                          [](const StoreApplied& applied) -> BookingEvent { return ClaimWritten { applied.revision }; },
                          [](const StoreNotApplied& rejected) -> BookingEvent {
                              if (rejected.refusal == StoreRefusal::Conflict)
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

void ClaimStore::storeFinalRecord(const std::string& key, const ClaimRecord& finalRecord, int64_t revision)
{
    PendingWrite pending { key, finalRecord, revision };
    bool isStoreFailing = false;
    {
        std::lock_guard lock(m_queueMutex);
        isStoreFailing = !m_queue.empty();
    }
    // The caller is waiting, so at most one write is attempted, and none while earlier ones fail.
    if (isStoreFailing || !std::holds_alternative<StoreApplied>(write(pending, false)))
        enqueue(std::move(pending));
}

void ClaimStore::releaseClaim(const std::string& key, ClaimRecord claim, int64_t revision)
{
    claim.state = ClaimState::Released;
    enqueue({ key, std::move(claim), revision });
}

void ClaimStore::enqueue(PendingWrite pending)
{
    {
        std::lock_guard lock(m_queueMutex);
        if (m_queue.size() >= maxQueuedWrites) {
            logEvent(LogSeverity::Warning, "claim_end_dropped", { { "key", m_queue.front().key } });
            m_queue.pop_front();
        }
        m_queue.push_back(std::move(pending));
    }
    m_thread.wake();
}

Duration ClaimStore::writeQueued()
{
    for (;;) {
        PendingWrite pending;
        {
            std::lock_guard lock(m_queueMutex);
            if (m_queue.empty())
                return idleInterval;
            pending = m_queue.front();
        }
        if (!tryWriteQueued(pending))
            return retryDelay;
        std::lock_guard lock(m_queueMutex);
        // enqueue() may have dropped the front entry in the meantime.
        if (!m_queue.empty() && m_queue.front().record.token == pending.record.token)
            m_queue.pop_front();
    }
}

bool ClaimStore::tryWriteQueued(PendingWrite& pending)
{
    for (int attempt = 0; attempt < maxWriteAttempts; ++attempt) {
        const auto outcome = write(pending, true);
        if (std::holds_alternative<StoreApplied>(outcome))
            return true;
        const auto* rejected = std::get_if<StoreNotApplied>(&outcome);
        if (!rejected || rejected->refusal != StoreRefusal::Conflict)
            return false;

        // The record is at another revision: check whether it still belongs to this claim.
        const auto event = read(pending.key);
        if (std::holds_alternative<ClaimReadFailed>(event))
            return false;
        const auto* found = std::get_if<ClaimRead>(&event);
        if (found && (found->record.token != pending.record.token || found->record.state != ClaimState::Claimed))
            return true;
        // A released record is written even if no record exists, so that a delayed write of the claim cannot take
        // effect.
        if (!found && pending.record.state != ClaimState::Released)
            return true;
        pending.revision = found ? found->revision : 0;
    }
    return false;
}

} // namespace cyclamenstair

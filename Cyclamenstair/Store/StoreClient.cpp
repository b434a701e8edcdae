#include <Cyclamenstair/Store/StoreClient.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    constexpr const char* budgetExhaustedMessage = "the node's call budget for the store is exhausted";

} // namespace

StoreClient::StoreClient(StoreBackend backend, StoreClientSettings settings)
    : m_backend(std::move(backend))
    , m_settings(settings)
    , m_availableCalls(settings.burst)
    , m_budgetTime(monotonicNow())
{
}

StoreReadOutcome StoreClient::range(const std::string& key, bool isPrefix)
{
    if (!tryAcquireCall(StoreCallKind::Range))
        return StoreUnavailable { budgetExhaustedMessage };
    return std::visit([&](auto& backend) { return backend.range(key, isPrefix, m_settings.callTimeout); }, m_backend);
}

StoreWriteOutcome StoreClient::transact(const StoreTransaction& transaction)
{
    if (!tryAcquireCall(StoreCallKind::Transaction))
        return StoreNotApplied { StoreRefusal::NotSent, budgetExhaustedMessage };
    return std::visit([&](auto& backend) { return backend.transact(transaction, m_settings.callTimeout); }, m_backend);
}

StoreWriteOutcome StoreClient::transactAndConfirm(const StoreTransaction& transaction, const std::string& key,
    const std::function<bool(const std::string&)>& isWrittenValue)
{
    auto outcome = transact(transaction);
    if (!std::holds_alternative<StoreOutcomeUnknown>(outcome))
        return outcome;
    const auto read = range(key);
    const auto* found = std::get_if<StoreRange>(&read);
    if (!found)
        return outcome;
    if (!found->records.empty() && isWrittenValue(found->records.front().value))
        return StoreApplied { found->records.front().modRevision };

    // The first call may still reach the store. Retrying the transaction makes that harmless: either the retry takes
    // effect, so that the first call conflicts, or its conditions no longer hold because of another write.
    auto retried = transact(transaction);
    const auto* notApplied = std::get_if<StoreNotApplied>(&retried);
    if (!notApplied || notApplied->refusal != StoreRefusal::Conflict)
        return notApplied ? outcome : retried;
    const auto secondRead = range(key);
    const auto* latest = std::get_if<StoreRange>(&secondRead);
    if (!latest)
        return outcome;
    if (!latest->records.empty() && isWrittenValue(latest->records.front().value))
        return StoreApplied { latest->records.front().modRevision };
    return retried;
}

std::optional<int64_t> StoreClient::grantLease(Duration timeToLive)
{
    if (!tryAcquireCall(StoreCallKind::LeaseGrant))
        return std::nullopt;
    return std::visit([&](auto& backend) { return backend.grantLease(timeToLive, m_settings.callTimeout); }, m_backend);
}

StoreLeaseOutcome StoreClient::keepLeaseAlive(int64_t leaseId)
{
    if (!tryAcquireCall(StoreCallKind::LeaseKeepAlive))
        return StoreLeaseOutcome::Unavailable;
    return std::visit(
        [&](auto& backend) { return backend.keepLeaseAlive(leaseId, m_settings.callTimeout); }, m_backend);
}

StoreLeaseOutcome StoreClient::revokeLease(int64_t leaseId)
{
    if (!tryAcquireCall(StoreCallKind::LeaseRevoke))
        return StoreLeaseOutcome::Unavailable;
    return std::visit([&](auto& backend) { return backend.revokeLease(leaseId, m_settings.callTimeout); }, m_backend);
}

std::optional<int64_t> StoreClient::waitForChange(
    const std::string& prefix, int64_t revision, Duration timeout, const std::stop_token& stop)
{
    if (!tryAcquireCall(StoreCallKind::Watch))
        return std::nullopt;
    return std::visit([&](auto& backend) { return backend.waitForChange(prefix, revision, timeout, stop); }, m_backend);
}

std::map<StoreCallKind, uint64_t> StoreClient::callCounts() const
{
    std::map<StoreCallKind, uint64_t> counts;
    m_counts.forEachShard([&](const auto& shard) { counts.insert(shard.begin(), shard.end()); });
    return counts;
}

bool StoreClient::tryAcquireCall(StoreCallKind kind)
{
    {
        std::lock_guard lock(m_budgetMutex);
        const auto now = monotonicNow();
        m_availableCalls
            = std::min(m_settings.burst, m_availableCalls + toSeconds(now - m_budgetTime) * m_settings.callsPerSecond);
        m_budgetTime = now;
        if (m_availableCalls < 1.0)
            return false;
        m_availableCalls -= 1.0;
    }
    m_counts.withShard(kind, [&](auto& counts) { ++counts[kind]; });
    return true;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Store/StoreClient.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    constexpr const char* budgetMessage = "the node's call budget for the store is used up";

} // namespace

StoreClient::StoreClient(StoreBackend backend, StoreClientSettings settings)
    : m_backend(std::move(backend))
    , m_settings(settings)
    , m_budget(settings.burst)
    , m_budgetTime(monotonicNow())
{
}

StoreReadOutcome StoreClient::range(const std::string& key, bool isPrefix)
{
    if (!beginCall(StoreCallKind::Range))
        return StoreUnavailable { budgetMessage };
    return std::visit([&](auto& backend) { return backend.range(key, isPrefix, m_settings.callTimeout); }, m_backend);
}

StoreWriteOutcome StoreClient::transact(const StoreTransaction& transaction)
{
    if (!beginCall(StoreCallKind::Transaction))
        return StoreNotApplied { StoreRefusal::NotSent, budgetMessage };
    return std::visit([&](auto& backend) { return backend.transact(transaction, m_settings.callTimeout); }, m_backend);
}

StoreWriteOutcome StoreClient::transactSettled(
    const StoreTransaction& transaction, const std::string& key, const std::function<bool(const std::string&)>& isOwn)
{
    auto outcome = transact(transaction);
    if (!std::holds_alternative<StoreUnknown>(outcome))
        return outcome;
    const auto read = range(key);
    const auto* found = std::get_if<StoreRange>(&read);
    if (!found)
        return outcome;
    if (!found->records.empty() && isOwn(found->records.front().value))
        return StoreApplied { found->records.front().modRevision };

    // The lost call may still be on its way. Repeating the transaction decides: either it applies now, so that the late
    // copy meets a changed key, or another write has already made its conditions false.
    auto repeated = transact(transaction);
    const auto* refused = std::get_if<StoreNotApplied>(&repeated);
    if (!refused || refused->refusal != StoreRefusal::Conflict)
        return refused ? outcome : repeated;
    const auto reread = range(key);
    const auto* latest = std::get_if<StoreRange>(&reread);
    if (!latest)
        return outcome;
    if (!latest->records.empty() && isOwn(latest->records.front().value))
        return StoreApplied { latest->records.front().modRevision };
    return repeated;
}

std::optional<int64_t> StoreClient::grantLease(Duration timeToLive)
{
    if (!beginCall(StoreCallKind::LeaseGrant))
        return std::nullopt;
    return std::visit([&](auto& backend) { return backend.grantLease(timeToLive, m_settings.callTimeout); }, m_backend);
}

StoreLeaseOutcome StoreClient::keepLeaseAlive(int64_t leaseId)
{
    if (!beginCall(StoreCallKind::LeaseKeepAlive))
        return StoreLeaseOutcome::Unavailable;
    return std::visit(
        [&](auto& backend) { return backend.keepLeaseAlive(leaseId, m_settings.callTimeout); }, m_backend);
}

StoreLeaseOutcome StoreClient::revokeLease(int64_t leaseId)
{
    if (!beginCall(StoreCallKind::LeaseRevoke))
        return StoreLeaseOutcome::Unavailable;
    return std::visit([&](auto& backend) { return backend.revokeLease(leaseId, m_settings.callTimeout); }, m_backend);
}

std::optional<int64_t> StoreClient::waitForChange(
    const std::string& prefix, int64_t revision, Duration limit, const std::stop_token& stop)
{
    if (!beginCall(StoreCallKind::Watch))
        return std::nullopt;
    return std::visit([&](auto& backend) { return backend.waitForChange(prefix, revision, limit, stop); }, m_backend);
}

std::map<StoreCallKind, uint64_t> StoreClient::callCounts() const
{
    std::map<StoreCallKind, uint64_t> counts;
    m_counts.forEachShard([&](const auto& shard) { counts.insert(shard.begin(), shard.end()); });
    return counts;
}

bool StoreClient::beginCall(StoreCallKind kind)
{
    {
        std::lock_guard lock(m_budgetMutex);
        const auto now = monotonicNow();
        m_budget = std::min(m_settings.burst, m_budget + toSeconds(now - m_budgetTime) * m_settings.callsPerSecond);
        m_budgetTime = now;
        if (m_budget < 1.0)
            return false;
        m_budget -= 1.0;
    }
    m_counts.withShard(kind, [&](auto& counts) { ++counts[kind]; });
    return true;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Entry/StatusPublisher.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <cmath>

namespace cyclamenstair {

namespace {

    /// Time between two looks at the demand; each write is a billed store call.
    constexpr Duration interval = milliseconds(1000);
    /// A status that does not change is written again after this time, and its lease lapses after the second.
    constexpr Duration longestInterval = milliseconds(3000);
    constexpr Duration statusTimeToLive = milliseconds(10000);
    constexpr Duration renewalInterval = milliseconds(3000);
    /// Changes of the requests in progress for a model, beyond which the status is written.
    constexpr double relevantChange = 0.25;
    constexpr double relevantRequests = 2;

} // namespace

StatusPublisher::StatusPublisher(boost::asio::io_context& context, PlatformStore& store, EntryState& state)
    : m_timer(context)
    , m_store(&store)
    , m_state(&state)
{
}

void StatusPublisher::stop()
{
    boost::system::error_code ec;
    m_timer.cancel(ec);
    if (m_leaseId != 0)
        m_store->endLease(m_leaseId);
}

std::string StatusPublisher::keyPrefix() { return "status/"; }

void StatusPublisher::tick()
{
    if (m_leaseId != 0) {
        publish();
        return;
    }
    m_store->grantLease(statusTimeToLive, [this](std::optional<int64_t> leaseId) {
        m_leaseId = leaseId.value_or(0);
        scheduleTick();
    });
}

void StatusPublisher::publish()
{
    const auto now = monotonicNow();
    NodeStatus status { m_state->nodeId, m_state->demand.demand(now) };
    if (!hasChanged(status) && now - m_publishedAt < longestInterval) {
        scheduleTick();
        return;
    }
    const StoreTransaction transaction { {},
        { StorePut { keyPrefix() + m_state->nodeId, encodeNodeStatus(status), m_leaseId } } };
    m_published = std::move(status);
    m_publishedAt = now;
    m_store->transact(transaction, [this](const StoreWriteOutcome& outcome) {
        const auto* refused = std::get_if<StoreNotApplied>(&outcome);
        if (refused && refused->refusal == StoreRefusal::Rejected) {
            // The lease may have lapsed during an outage.
            logEvent(LogSeverity::Info, "status_rejected", { { "message", refused->message } });
            m_leaseId = 0;
        } else if (m_leaseId != 0 && monotonicNow() - m_renewedAt > renewalInterval) {
            m_renewedAt = monotonicNow();
            m_store->keepLeaseAlive(m_leaseId, [this](StoreLeaseOutcome lease) {
                if (lease == StoreLeaseOutcome::Expired)
                    m_leaseId = 0;
            });
        }
        scheduleTick();
    });
}

void StatusPublisher::scheduleTick()
{
    m_timer.expires_after(interval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tick();
    });
}

bool StatusPublisher::hasChanged(const NodeStatus& status) const
{
    if (status.demands.size() != m_published.demands.size())
        return true;
    for (const auto& [artifact, demand] : status.demands) {
        const auto before = m_published.demands.find(artifact);
        if (before == m_published.demands.end() || (demand.waiting > 0) != (before->second.waiting > 0))
            return true;
        const double change = std::abs(static_cast<double>(demand.inProgress) - before->second.inProgress);
        if (change > relevantRequests && change > relevantChange * before->second.inProgress)
            return true;
    }
    return false;
}

} // namespace cyclamenstair

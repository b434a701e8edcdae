#include <Cyclamenstair/Entry/OrderHolder.h>

#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    /// Spread of the nodes' attempts to take a free key, so that one of them usually meets no other.
    constexpr Duration takeSpread = milliseconds(300);
    /// Wait after an attempt that failed.
    constexpr Duration takeRetryDelay = milliseconds(500);
    /// Three renewals fit into the lease's validity. They are billed at a tenth of a call.
    constexpr Duration renewalInterval = milliseconds(200);

} // namespace

const std::string OrderHolder::key = "control/holder";

OrderHolder::OrderHolder(boost::asio::io_context& context, PlatformStore& store, std::string nodeId,
    OrderLeaseSettings settings, uint64_t seed)
    : m_timer(context)
    , m_store(&store)
    , m_nodeId(std::move(nodeId))
    , m_settings(settings)
    , m_lease(settings)
    , m_random(seed)
{
}

void OrderHolder::stop()
{
    m_isStopping = true;
    abandon("stopping");
}

void OrderHolder::abandon(const std::string& reason)
{
    if (!m_lease.isHeld())
        return;
    m_store->endLease(m_leaseId);
    loseLease(reason);
}

void OrderHolder::onHolder(const std::string& holder)
{
    if (holder != m_holder || !m_isHolderKnown)
        logEvent(LogSeverity::Info, "order_holder_seen", { { "holder", holder } });
    m_holder = holder;
    m_isHolderKnown = true;
    if (m_lease.isHeld() && holder != m_nodeId)
        loseLease("the key is gone or names another node");
    if (holder.empty())
        scheduleTake();
}

void OrderHolder::scheduleTake()
{
    if (m_isTaking || m_isStopping || m_lease.isHeld())
        return;
    m_isTaking = true;
    m_timer.expires_after(
        Duration(static_cast<int64_t>(randomUnit(m_random) * static_cast<double>(takeSpread.count()))));
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (ec || m_isStopping || !m_holder.empty())
            m_isTaking = false;
        else
            take();
    });
}

void OrderHolder::take()
{
    const auto sentAt = suspendAwareNow();
    m_store->grantLease(m_settings.timeToLive, [this, sentAt](std::optional<int64_t> leaseId) {
        if (leaseId) {
            create(*leaseId, sentAt);
            return;
        }
        m_timer.expires_after(takeRetryDelay);
        m_timer.async_wait([this](const boost::system::error_code& ec) {
            m_isTaking = false;
            if (!ec && m_holder.empty())
                scheduleTake();
        });
    });
}

void OrderHolder::create(int64_t leaseId, TimePoint sentAt)
{
    StoreTransaction transaction { { { key, 0 } }, { StorePut { key, m_nodeId, leaseId } } };
    m_store->transact(transaction, [this, leaseId, sentAt](const StoreWriteOutcome& outcome) {
        m_isTaking = false;
        const auto* applied = std::get_if<StoreApplied>(&outcome);
        if (!applied || m_isStopping) {
            // If the write took effect all the same, its lease is ended here or lapses, and the key with it.
            m_store->endLease(leaseId);
            m_timer.expires_after(takeRetryDelay);
            m_timer.async_wait([this](const boost::system::error_code& ec) {
                if (!ec && m_holder.empty())
                    scheduleTake();
            });
            return;
        }
        m_leaseId = leaseId;
        m_holder = m_nodeId;
        m_lease.markAcquired(applied->revision, sentAt, suspendAwareNow());
        logEvent(LogSeverity::Info, "order_lease_taken", { { "fence", std::to_string(applied->revision) } });
        scheduleRenewal();
    });
}

void OrderHolder::scheduleRenewal()
{
    m_timer.expires_after(renewalInterval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && m_lease.isHeld())
            renew();
    });
}

void OrderHolder::renew()
{
    const auto sentAt = suspendAwareNow();
    m_store->keepLeaseAlive(m_leaseId, [this, sentAt](StoreLeaseOutcome outcome) { onRenewed(outcome, sentAt); });
}

void OrderHolder::onRenewed(StoreLeaseOutcome outcome, TimePoint sentAt)
{
    if (!m_lease.isHeld())
        return;
    if (outcome == StoreLeaseOutcome::Alive)
        m_lease.markRenewed(sentAt);
    // While the store does not answer, the lease may pause there, so it is renewed until the store says that it ended.
    if (outcome == StoreLeaseOutcome::Expired) {
        loseLease(std::string(nameOf(outcome)));
        return;
    }
    scheduleRenewal();
}

void OrderHolder::loseLease(const std::string& reason)
{
    logEvent(LogSeverity::Info, "order_lease_lost",
        { { "fence", std::to_string(m_lease.fencingToken()) }, { "reason", reason } });
    m_lease.markLost();
    m_leaseId = 0;
    // The key may still be there; the follower reports when it is gone.
    boost::system::error_code ec;
    m_timer.cancel(ec);
}

} // namespace cyclamenstair

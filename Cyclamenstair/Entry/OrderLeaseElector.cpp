#include <Cyclamenstair/Entry/OrderLeaseElector.h>

#include <Cyclamenstair/Store/StoreEra.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Upper bound of the random delay before a node tries to create the absent key, so that attempts of several nodes
    /// rarely collide.
    constexpr Duration acquireJitter = milliseconds(300);
    /// Number of competing nodes from which on the bound grows with it, so that few attempts are made before the others
    /// learn of the new holder.
    constexpr size_t acquireJitterCompetitors = 16;
    /// Delay after a failed attempt.
    constexpr Duration acquireRetryDelay = milliseconds(500);
    /// Allows three renewals within the lease's validity. A renewal is billed at a tenth of a call.
    constexpr Duration renewalInterval = milliseconds(200);
    /// Longer than one call, and than the two calls of an attempt. Calls end within a second.
    constexpr Duration maxRenewalTime = milliseconds(2000);
    constexpr Duration maxAcquireTime = milliseconds(3000);

} // namespace

const std::string OrderLeaseElector::key = "control/holder";

OrderLeaseElector::OrderLeaseElector(boost::asio::io_context& context, PlatformStore& store, std::string nodeId,
    OrderLeaseSettings settings, uint64_t seed)
    : m_timer(context)
    , m_revocationTimer(context)
    , m_store(&store)
    , m_nodeId(std::move(nodeId))
    , m_settings(settings)
    , m_lease(settings)
    , m_random(seed)
{
    m_store->addEraHandler([this] {
        if (m_lease.isHeld())
            clearLease("the store entered a new era");
    });
}

void OrderLeaseElector::stop()
{
    m_isStopping = true;
    resign("stopping");
}

void OrderLeaseElector::resign(const std::string& reason)
{
    if (!m_lease.isHeld())
        return;
    // A successor's takeoverDelay relies on the time between the last order and the expiry of the lease.
    m_revocationTimer.expires_after(m_settings.timeToLive - m_settings.renewalValidity);
    m_revocationTimer.async_wait([this, leaseId = m_leaseId](const boost::system::error_code& ec) {
        if (!ec)
            m_store->revokeLease(leaseId);
    });
    clearLease(reason);
}

void OrderLeaseElector::onLeaseHolderChanged(const std::string& leaseHolder)
{
    if (leaseHolder != m_leaseHolder || !m_isLeaseHolderKnown)
        logEvent(LogSeverity::Info, "order_holder_seen", { { "holder", leaseHolder } });
    m_leaseHolder = leaseHolder;
    m_isLeaseHolderKnown = true;
    if (m_lease.isHeld() && leaseHolder != m_nodeId)
        clearLease("the lease key was deleted or names another node");
    if (leaseHolder.empty())
        scheduleAcquire();
}

void OrderLeaseElector::scheduleAcquire()
{
    if (m_isAcquiring || m_isStopping || m_lease.isHeld())
        return;
    m_isAcquiring = true;
    const auto jitter = std::chrono::duration<double, Duration::period>(acquireJitter) * randomUnit(m_random)
        * std::max(1.0, static_cast<double>(m_competitorCount) / acquireJitterCompetitors);
    m_timer.expires_after(m_settings.acquireDelay + std::chrono::duration_cast<Duration>(jitter));
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (ec || m_isStopping || !m_leaseHolder.empty()) {
            m_isAcquiring = false;
            return;
        }
        // Before the work, so that an exception in it does not end the attempts.
        retryAcquire(acquireRetryDelay);
        if (!m_isEligible || m_isEligible())
            acquire();
    });
}

void OrderLeaseElector::retryAcquire(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (ec)
            return;
        m_isAcquiring = false;
        if (m_leaseHolder.empty())
            scheduleAcquire();
    });
}

void OrderLeaseElector::acquire()
{
    retryAcquire(maxAcquireTime);
    const auto sentAt = suspendAwareNow();
    m_store->grantLease(m_settings.timeToLive, [this, sentAt, attempt = ++m_attempt](std::optional<int64_t> leaseId) {
        if (leaseId)
            createHolderKey(*leaseId, sentAt, attempt);
        else if (attempt == m_attempt)
            retryAcquire(acquireRetryDelay);
    });
}

void OrderLeaseElector::createHolderKey(int64_t leaseId, TimePoint sentAt, uint64_t attempt)
{
    StoreTransaction transaction { { { key, 0 } }, { StorePut { key, m_nodeId, leaseId } } };
    m_store->transact(transaction, [this, leaseId, sentAt, attempt](const StoreWriteOutcome& outcome) {
        const auto* appliedWrite = std::get_if<StoreApplied>(&outcome);
        // After a suspension the timer of an attempt can run before its outcome, which is then too late.
        const bool isLate = attempt != m_attempt;
        if (!appliedWrite || m_isStopping || isLate) {
            // The write may have been applied even so; revoking or expiry of the lease then removes the key.
            m_store->revokeLease(leaseId);
            if (!isLate)
                retryAcquire(acquireRetryDelay);
            return;
        }
        scheduleRenewal(renewalInterval);
        m_isAcquiring = false;
        m_leaseId = leaseId;
        m_leaseHolder = m_nodeId;
        m_lease.markAcquired(appliedWrite->revision, sentAt, suspendAwareNow(), m_store->eraSeenAt());
        logEvent(LogSeverity::Info, "order_lease_taken",
            { { "fence", std::to_string(appliedWrite->revision) },
                { "era", std::to_string(eraOf(appliedWrite->revision)) },
                { "revision", std::to_string(revisionInEra(appliedWrite->revision)) } });
    });
}

void OrderLeaseElector::scheduleRenewal(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && m_lease.isHeld())
            renew();
    });
}

void OrderLeaseElector::renew()
{
    // Before the call, so that an exception in it or in the handling of its outcome does not end the renewals.
    scheduleRenewal(maxRenewalTime);
    const auto sentAt = suspendAwareNow();
    m_store->keepLeaseAlive(m_leaseId, [this, sentAt](StoreLeaseOutcome outcome) { onRenewed(outcome, sentAt); });
}

void OrderLeaseElector::onRenewed(StoreLeaseOutcome outcome, TimePoint sentAt)
{
    if (!m_lease.isHeld())
        return;
    if (outcome == StoreLeaseOutcome::Alive)
        m_lease.markRenewed(sentAt);
    // The lease's expiry may be suspended while the store does not respond, so renewals go on until the store reports
    // that the lease has expired.
    if (outcome == StoreLeaseOutcome::Expired) {
        clearLease(std::string(nameOf(outcome)));
        return;
    }
    scheduleRenewal(renewalInterval);
}

void OrderLeaseElector::clearLease(const std::string& reason)
{
    logEvent(LogSeverity::Info, "order_lease_lost",
        { { "fence", std::to_string(m_lease.fencingToken()) }, { "reason", reason } });
    m_lease.markLost();
    m_leaseId = 0;
    // The key may still exist; ControlWatcher reports its deletion.
    boost::system::error_code ec;
    m_timer.cancel(ec);
}

} // namespace cyclamenstair

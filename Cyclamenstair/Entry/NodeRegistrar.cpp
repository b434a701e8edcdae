#include <Cyclamenstair/Entry/NodeRegistrar.h>

#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    /// Time until the entry of a dead node expires. Until then peers only waste connection attempts.
    constexpr Duration entryTimeToLive = milliseconds(10000);
    constexpr Duration renewalInterval = milliseconds(4000);
    constexpr Duration frequentRenewalInterval = milliseconds(300);
    constexpr Duration retryDelay = milliseconds(1000);
    /// Longer than the calls of one registration, each of which ends within a second.
    constexpr Duration maxCallTime = milliseconds(3000);

} // namespace

const std::string NodeRegistrar::keyPrefix = "control/nodes/";

NodeRegistrar::NodeRegistrar(boost::asio::io_context& context, PlatformStore& store, std::string nodeId, PeerNode self)
    : m_timer(context)
    , m_store(&store)
    , m_nodeId(std::move(nodeId))
    , m_self(std::move(self))
{
}

void NodeRegistrar::stop()
{
    m_isStopping = true;
    boost::system::error_code ec;
    m_timer.cancel(ec);
    if (m_leaseId != 0)
        m_store->revokeLease(m_leaseId);
}

void NodeRegistrar::registerOrRenew()
{
    // Before the calls, so that an exception in them or in the handling of their outcome does not end the renewals.
    scheduleNext(maxCallTime);
    m_isCalling = true;
    const auto round = ++m_round;
    if (m_leaseId != 0) {
        if (m_writtenEntry == m_self)
            renew(round);
        else
            rewriteEntry(round);
        return;
    }
    m_store->grantLease(entryTimeToLive, [this, round](std::optional<int64_t> leaseId) {
        if (leaseId)
            writeEntry(*leaseId, round);
        else if (round == m_round)
            scheduleNext(retryDelay);
    });
}

void NodeRegistrar::setRelayAddress(std::string address)
{
    m_self.relayAddress = std::move(address);
    // A registration or renewal in progress schedules the next one itself.
    if (!m_isStopping && !m_isCalling && m_leaseId != 0)
        scheduleNext({});
}

void NodeRegistrar::setFrequent(bool isFrequent)
{
    if (isFrequent == m_isFrequent)
        return;
    m_isFrequent = isFrequent;
    // A renewal in progress schedules the next one itself.
    if (isFrequent && !m_isCalling && m_leaseId != 0 && m_timer.expiry() > monotonicNow() + frequentRenewalInterval)
        scheduleNext(frequentRenewalInterval);
}

void NodeRegistrar::writeEntry(int64_t leaseId, uint64_t round)
{
    const StoreTransaction transaction { {}, { StorePut { keyPrefix + m_nodeId, encodeNodeEntry(m_self), leaseId } } };
    m_store->transact(transaction, [this, leaseId, round, entry = m_self](const StoreWriteOutcome& outcome) {
        // After a suspension the timer of a registration can run before its outcome. The next one is then in progress.
        if (round != m_round) {
            m_store->revokeLease(leaseId);
        } else if (std::holds_alternative<StoreApplied>(outcome)) {
            m_leaseId = leaseId;
            m_writtenEntry = entry;
            const auto interval = m_isFrequent ? frequentRenewalInterval : renewalInterval;
            scheduleNext(entry == m_self ? interval : Duration {});
        } else {
            m_store->revokeLease(leaseId);
            scheduleNext(retryDelay);
        }
    });
}

void NodeRegistrar::rewriteEntry(uint64_t round)
{
    const StoreTransaction transaction { {},
        { StorePut { keyPrefix + m_nodeId, encodeNodeEntry(m_self), m_leaseId } } };
    m_store->transact(transaction, [this, round, entry = m_self](const StoreWriteOutcome& outcome) {
        if (std::holds_alternative<StoreApplied>(outcome))
            m_writtenEntry = entry;
        // A renewal comes next in either case: a write does not renew the lease, and may have failed because the lease
        // has expired.
        if (round == m_round)
            renew(round);
    });
}

void NodeRegistrar::renew(uint64_t round)
{
    m_store->keepLeaseAlive(m_leaseId, [this, round](StoreLeaseOutcome outcome) {
        if (outcome != StoreLeaseOutcome::Unavailable)
            m_contactAt = monotonicNow();
        if (round != m_round)
            return;
        if (outcome == StoreLeaseOutcome::Expired) {
            logEvent(LogSeverity::Info, "node_entry_lapsed", { { "node", m_nodeId } });
            m_leaseId = 0;
        }
        if (m_isFrequent)
            scheduleNext(frequentRenewalInterval);
        else
            scheduleNext(outcome == StoreLeaseOutcome::Alive ? renewalInterval : retryDelay);
    });
}

void NodeRegistrar::scheduleNext(Duration delay)
{
    m_isCalling = false;
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            registerOrRenew();
    });
}

} // namespace cyclamenstair

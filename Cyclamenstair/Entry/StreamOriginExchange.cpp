#include <Cyclamenstair/Entry/StreamOriginExchange.h>

#include <Cyclamenstair/Codec/EntryMessages.h>
#include <Cyclamenstair/Codec/ServiceVersionCodec.h>
#include <Cyclamenstair/Core/Hash.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <random>

namespace cyclamenstair {

namespace {

    constexpr Duration tickInterval = milliseconds(100);
    /// While a service has several versions, so that first events wait for little more than the time between two
    /// writes.
    constexpr Duration mixedTickInterval = milliseconds(20);
    /// Interval at which the versions of the targets are looked for. With the interval at which they are sent to other
    /// nodes, it is part of TargetRegistrySettings::newVersionDelay.
    constexpr Duration observationInterval = milliseconds(100);
    /// Time out of step with the other nodes after which the store confirms the versions instead. A node that has just
    /// started connects to the others within it.
    constexpr Duration maxTimeOutOfStep = milliseconds(2000);
    /// Interval at which the lease holder compares the versions of the targets with those in the store.
    constexpr Duration versionInterval = milliseconds(500);
    /// Less versionRenewalInterval, this is still longer than SoftwareVersions::lifetime.
    constexpr Duration versionTimeToLive = SoftwareVersions::lifetime * 3 / 2;
    constexpr Duration versionRenewalInterval = std::chrono::seconds(15);
    /// Interval at which origins are written, for each node. Bounds the calls of all nodes together to a hundred per
    /// second; each is billed.
    constexpr Duration originIntervalPerNode = milliseconds(10);
    /// Up to this interval first events wait for the write. In a larger fleet, streams that began within the interval
    /// cannot be resumed if all nodes restart at once.
    constexpr Duration maxAwaitedInterval = milliseconds(100);
    constexpr Duration originRetryInterval = milliseconds(300);
    /// A lease serves all keys that are written during half of its time.
    constexpr Duration originTimeToLive = SoftwareVersions::lifetime * 2;
    /// Bounds what is kept for the store while it does not respond.
    constexpr size_t maxUnwrittenOrigins = 20000;

    const std::string originPrefix = "origins/";

    std::string versionKey(const ServiceVersion& version)
    {
        return StreamOriginExchange::versionPrefix
            + std::to_string(stableHash(version.version, stableHash(version.service)));
    }

} // namespace

const std::string StreamOriginExchange::versionPrefix = "control/versions/";

StreamOriginExchange::StreamOriginExchange(boost::asio::io_context& context, PlatformStore& store,
    OrderLeaseElector& elector, PeerMesh& mesh, EntryState& state)
    : m_timer(context)
    , m_store(&store)
    , m_originListing(
          context, originPrefix,
          [this](const std::string& afterKey, std::function<void(StorePageOutcome)> handler) {
              m_store->readPage(originPrefix, afterKey, std::move(handler));
          },
          [this](const StoreRecord& record) {
              mergeOrigins(record);
              return false; // Nothing of the record is needed any more.
          })
    , m_elector(&elector)
    , m_mesh(&mesh)
    , m_state(&state)
    , m_originKeyPrefix(originPrefix + state.nodeId + "/" + std::to_string(std::random_device {}()) + "-")
{
}

void StreamOriginExchange::start(StoreWatcher& targetWatcher, StoreWatcher& controlWatcher)
{
    m_targetWatcher = &targetWatcher;
    m_controlWatcher = &controlWatcher;
    m_startedAt = suspendAwareNow();
    tick();
}

void StreamOriginExchange::addKnownVersions(const std::set<ServiceVersion>& versions)
{
    for (const auto& version : versions)
        m_state->versions.observe(version, monotonicNow());
    m_areVersionsKnown = true;
}

void StreamOriginExchange::tick()
{
    // Before the work, so that an exception in it does not end the ticks.
    scheduleTick(tickInterval);
    const auto now = monotonicNow();
    if (now - m_versionsObservedAt >= observationInterval || !m_state->versions.isComplete())
        observeVersions(now);
    writeVersions(now);
    sendOrigins(now);
    writeOrigins(now);
    if (m_state->versions.isMixed(now))
        scheduleTick(mixedTickInterval);
}

void StreamOriginExchange::scheduleTick(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tick();
    });
}

void StreamOriginExchange::observeVersions(TimePoint now)
{
    m_versionsObservedAt = now;
    for (const auto& version : m_state->targets.softwareVersions())
        m_state->versions.observe(version, now);
    m_state->versions.setComplete(m_areVersionsKnown && m_state->areTargetsKnown);
    confirmVersions();
    m_state->origins.expire(now);
    m_state->origins.setWritesExpected(m_state->versions.isMixed(now) && m_areOriginsRead && !m_hasOriginCallFailed
        && originInterval() <= maxAwaitedInterval);
}

void StreamOriginExchange::confirmVersions()
{
    const auto inStepAt = m_mesh->inStepAt();
    m_targetWatcher->setConfirming(suspendAwareNow() - std::max(inStepAt, m_startedAt) >= maxTimeOutOfStep);
    // A read after a failure does not show versions that have come and left meanwhile. The nodes' records do.
    const bool isStoreFollowed = m_controlWatcher->confirmedAt() >= m_targetWatcher->gapSince();
    m_state->versions.confirm(isStoreFollowed ? std::max(inStepAt, m_targetWatcher->confirmedAt()) : inStepAt);
}

Duration StreamOriginExchange::originInterval() const
{
    return originIntervalPerNode * static_cast<int64_t>(m_mesh->nodeCount());
}

void StreamOriginExchange::writeVersions(TimePoint now)
{
    if (!m_elector->lease().isHeld()) {
        m_writtenVersions.clear();
        return;
    }
    if (now - m_versionsWrittenAt < versionInterval)
        return;
    m_versionsWrittenAt = now;
    const auto current = m_state->targets.softwareVersions();
    // The lease of a version that serves no more expires by itself.
    std::erase_if(m_writtenVersions, [&](const auto& entry) { return !current.contains(entry.first); });
    for (const auto& version : current) {
        auto& written = m_writtenVersions[version];
        if (written.isPending || (written.leaseId != 0 && now - written.renewedAt < versionRenewalInterval))
            continue;
        written.isPending = true;
        written.renewedAt = now;
        if (written.leaseId == 0)
            grantVersionLease(version);
        else
            renewVersion(version, written.leaseId);
    }
}

StreamOriginExchange::WrittenVersion* StreamOriginExchange::pendingVersion(const ServiceVersion& version)
{
    const auto entry = m_writtenVersions.find(version);
    return entry != m_writtenVersions.end() && entry->second.isPending ? &entry->second : nullptr;
}

void StreamOriginExchange::grantVersionLease(const ServiceVersion& version)
{
    m_store->grantLease(versionTimeToLive, [this, version](std::optional<int64_t> leaseId) {
        auto* written = pendingVersion(version);
        if (written && leaseId) {
            writeVersion(version, *leaseId);
            return;
        }
        if (written)
            written->isPending = false;
        if (leaseId)
            m_store->revokeLease(*leaseId);
    });
}

void StreamOriginExchange::writeVersion(const ServiceVersion& version, int64_t leaseId)
{
    const StoreTransaction transaction { {},
        { StorePut { versionKey(version), encodeServiceVersion(version), leaseId } } };
    m_store->transact(transaction, [this, version, leaseId](const StoreWriteOutcome& outcome) {
        auto* written = pendingVersion(version);
        if (!written)
            return;
        written->isPending = false;
        if (!std::holds_alternative<StoreApplied>(outcome))
            return;
        written->leaseId = leaseId;
        logEvent(LogSeverity::Info, "software_version_written",
            { { "service", version.service }, { "version", version.version } });
    });
}

void StreamOriginExchange::renewVersion(const ServiceVersion& version, int64_t leaseId)
{
    m_store->keepLeaseAlive(leaseId, [this, version](StoreLeaseOutcome outcome) {
        auto* written = pendingVersion(version);
        if (!written)
            return;
        written->isPending = false;
        if (outcome == StoreLeaseOutcome::Expired)
            written->leaseId = 0;
    });
}

void StreamOriginExchange::sendOrigins(TimePoint now)
{
    for (auto& origin : m_state->origins.takeRecorded())
        m_unsentOrigins.emplace_back(now, std::move(origin));
    while (!m_unsentOrigins.empty() && now - m_unsentOrigins.front().first >= SoftwareVersions::lifetime)
        m_unsentOrigins.pop_front();
    if (m_unsentOrigins.empty() || !m_state->versions.isMixed(now))
        return;
    std::vector<StreamOrigin> origins;
    for (auto& [recordedAt, origin] : m_unsentOrigins)
        origins.push_back(std::move(origin));
    m_unsentOrigins.clear();
    m_unwrittenOrigins.insert(m_unwrittenOrigins.end(), origins.begin(), origins.end());
    if (m_unwrittenOrigins.size() > maxUnwrittenOrigins)
        m_unwrittenOrigins.erase(
            m_unwrittenOrigins.begin(), m_unwrittenOrigins.end() - static_cast<std::ptrdiff_t>(maxUnwrittenOrigins));
    m_mesh->shareStreamOrigins(std::move(origins));
}

void StreamOriginExchange::writeOrigins(TimePoint now)
{
    if (!m_state->versions.isComplete() || !m_state->versions.isMixed(now) || m_isOriginCallPending)
        return;
    if (!m_areOriginsRead) {
        if (now - m_originsCalledAt >= originRetryInterval) {
            m_originsCalledAt = now;
            readOrigins();
        }
        return;
    }
    if (m_unwrittenOrigins.empty() || now - m_originsCalledAt < originInterval())
        return;
    m_originsCalledAt = now;
    if (m_originLeaseId == 0 || now - m_originLeaseGrantedAt >= originTimeToLive / 2) {
        grantOriginLease(now);
        return;
    }
    auto origins = std::exchange(m_unwrittenOrigins, {});
    const StoreTransaction transaction { {},
        { StorePut { m_originKeyPrefix + std::to_string(++m_originKeys),
            encodeEntryMessage(StreamOriginShare { m_state->nodeId, origins }), m_originLeaseId } } };
    m_isOriginCallPending = true;
    m_store->transact(transaction, [this, origins = std::move(origins)](const StoreWriteOutcome& outcome) {
        m_isOriginCallPending = false;
        m_hasOriginCallFailed = !std::holds_alternative<StoreApplied>(outcome);
        if (!m_hasOriginCallFailed) {
            m_state->origins.markWritten(origins);
            return;
        }
        m_unwrittenOrigins.insert(m_unwrittenOrigins.begin(), origins.begin(), origins.end());
        // The lease may have ended.
        m_originLeaseId = 0;
    });
}

void StreamOriginExchange::grantOriginLease(TimePoint now)
{
    m_isOriginCallPending = true;
    m_store->grantLease(originTimeToLive, [this, now](std::optional<int64_t> leaseId) {
        m_isOriginCallPending = false;
        m_hasOriginCallFailed = !leaseId;
        m_originLeaseId = leaseId.value_or(0);
        m_originLeaseGrantedAt = now;
        m_originsCalledAt = leaseId ? TimePoint() : m_originsCalledAt;
    });
}

void StreamOriginExchange::readOrigins()
{
    m_isOriginCallPending = true;
    m_originsRead = 0;
    m_originListing.read([this](const StoreReadOutcome& outcome) {
        m_isOriginCallPending = false;
        if (!std::holds_alternative<StoreRange>(outcome))
            return;
        m_areOriginsRead = true;
        logEvent(LogSeverity::Info, "stream_origins_read", { { "origins", std::to_string(m_originsRead) } });
    });
}

void StreamOriginExchange::mergeOrigins(const StoreRecord& record)
{
    try {
        const auto message = decodeEntryMessage(record.value);
        if (const auto* share = std::get_if<StreamOriginShare>(&message))
            m_originsRead += m_state->origins.merge(share->origins, monotonicNow()).size();
    } catch (const Exception& exception) {
        logError(LogSeverity::Warning, "stream_origins_rejected", exception.error());
    }
}

} // namespace cyclamenstair

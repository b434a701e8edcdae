#include <Cyclamenstair/Node/GossipLoop.h>

#include <Cyclamenstair/Codec/AuditCodec.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <future>

namespace cyclamenstair {

namespace {

    /// Heartbeats per member timeout; tolerates the loss of one or two.
    constexpr int heartbeatsPerTimeout = 3;

    /// Number of peers to which a node announces a new revision. Three reach 1,400 nodes in about seven rounds.
    constexpr size_t announcementFanout = 3;

    /// Short, so that announcing does not delay the activation of the plan. Peers that miss the announcement learn the
    /// revision from the next gossip exchange.
    constexpr Duration announcementTimeout = milliseconds(300);

    constexpr size_t peersPerJoin = 5;
    /// Idle interval of the fetch thread. Announcements wake it earlier.
    constexpr Duration fetchIdleInterval = milliseconds(60000);
    constexpr size_t maxPendingAnnouncements = 64;
    constexpr size_t maxAuditPeers = 32;
    constexpr uint32_t maxAuditEntries = 1000;

    uint64_t unixMicroseconds()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    }

} // namespace

GossipLoop::GossipLoop(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey,
    GossipTable& gossip, PlanExchange& planExchange, TargetDirectory& directory, PeerDirectory& peers,
    AuditTrail& audit)
    : m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_fleetKey(std::move(fleetKey))
    , m_epoch(unixMicroseconds())
    , m_gossip(&gossip)
    , m_planExchange(&planExchange)
    , m_directory(&directory)
    , m_peers(&peers)
    , m_audit(&audit)
    , m_fetchThread("plan_fetch", [this] { return fetchAnnouncedPlans(); })
    , m_thread("gossip", [this] { return step(); })
{
    m_planExchange->setAnnouncer([this](uint64_t revision) { announceRevision(revision); });
}

void GossipLoop::stop()
{
    m_thread.stop();
    m_fetchThread.stop();
}

PeerMessage GossipLoop::handleRequest(const PeerMessage& request)
{
    return std::visit(
        Overloaded {
            [&](const GossipRequestMessage& message) -> PeerMessage { return handleGossip(message); },
            [&](const GossipPushMessage& message) -> PeerMessage { return handlePush(message); },
            [&](const PlanFetchRequestMessage& message) -> PeerMessage { return m_planExchange->handleFetch(message); },
            [&](const PlanAnnounceMessage& message) -> PeerMessage {
                const auto ownRevision = m_planExchange->stagedRevision();
                if (message.revision > ownRevision) {
                    std::lock_guard lock(m_pendingAnnouncementsMutex);
                    if (m_pendingAnnouncements.size() < maxPendingAnnouncements)
                        m_pendingAnnouncements[message.address] = message.revision;
                    m_fetchThread.wake();
                }
                return PlanAnnounceAckMessage { ownRevision };
            },
            [&](const AuditFetchRequestMessage& message) -> PeerMessage { return handleAuditFetch(message); },
            [](const auto&) -> PeerMessage {
                return FailureMessage { "peer.answer", "expected a request, got a message of another kind" };
            },
        },
        request);
}

GossipResponseMessage GossipLoop::handleGossip(const GossipRequestMessage& request)
{
    const auto now = monotonicNow();
    m_gossip->applyHeartbeats(request.heartbeats, now);
    GossipResponseMessage response;
    response.planRevision = m_planExchange->stagedRevision();
    response.buckets = m_gossip->differingBuckets(request.bucketHashes, now);
    response.rows = m_gossip->rows(response.buckets, now);
    response.heartbeats = m_gossip->recentHeartbeats(
        GossipTable::heartbeatWindow, GossipTable::maxHeartbeatsInResponse, now, request.heartbeats);
    return response;
}

GossipPushAckMessage GossipLoop::handlePush(const GossipPushMessage& request)
{
    applyEntries(request.entries);
    return { static_cast<uint32_t>(request.entries.size()), m_gossip->entriesByHash(request.wanted, monotonicNow()) };
}

AuditFetchResponseMessage GossipLoop::handleAuditFetch(const AuditFetchRequestMessage& request) const
{
    AuditFetchResponseMessage response;
    for (const auto& entry : m_audit->latest(std::min(request.limit, maxAuditEntries)))
        response.entries.push_back(encodeAuditEntry(entry));
    return response;
}

Duration GossipLoop::step()
{
    const auto now = monotonicNow();
    publishOwnMember(now);
    m_gossip->removeExpired(now);
    m_peers->refresh(now);
    if (!m_hasJoinedFleet)
        joinFleet();
    else {
        for (const auto& address : m_peers->selectRandom(1, now))
            exchangeWith(address, true);
    }
    return milliseconds(m_settings.peer->gossip_interval_ms);
}

void GossipLoop::joinFleet()
{
    // Requests run in parallel, because peers that are down would delay the others.
    std::vector<std::pair<std::string, std::future<std::optional<uint64_t>>>> requests;
    for (const auto& address : m_peers->selectRandom(peersPerJoin, monotonicNow())) {
        requests.emplace_back(
            address, std::async(std::launch::async, [this, address] { return exchangeWith(address, false); }));
    }
    std::vector<std::pair<uint64_t, std::string>> responses;
    for (auto& [address, exchange] : requests) {
        if (const auto revision = exchange.get())
            responses.emplace_back(*revision, address);
    }
    std::sort(responses.rbegin(), responses.rend());
    for (const auto& [revision, address] : responses) {
        m_hasJoinedFleet = true;
        if (revision > m_planExchange->stagedRevision())
            fetchPlanFrom(address);
    }
    m_peers->refresh(monotonicNow());
}

void GossipLoop::publishOwnMember(TimePoint now)
{
    MemberInfo member;
    member.node = m_settings.node->id;
    member.incarnation = m_incarnation;
    member.peerAddress = m_peers->ownAddress();
    member.operatorAddress = m_settings.operator_api->address + ":" + std::to_string(m_settings.operator_api->port);
    member.region = m_settings.node->region;
    member.failureDomain = m_settings.node->failure_domain;
    member.isDraining = m_isDraining;
    auto encoded = encodeMember(member);
    const auto interval = milliseconds(m_settings.peer->member_timeout_ms) / heartbeatsPerTimeout;
    if (m_lastHeartbeatAt && now - *m_lastHeartbeatAt < interval && encoded == m_publishedMember)
        return;
    m_lastHeartbeatAt = now;
    m_publishedMember = encoded;
    m_gossip->publishHeartbeat(memberKeyPrefix + member.node, m_epoch, std::move(encoded), now);
}

void GossipLoop::announceRevision(uint64_t revision)
{
    std::vector<std::future<void>> announcements;
    for (const auto& address : m_peers->selectRandom(announcementFanout, monotonicNow())) {
        announcements.push_back(std::async(std::launch::async, [this, address, revision] {
            auto socket = connect(address, announcementTimeout);
            if (!socket)
                return;
            try {
                socket.value().send(PlanAnnounceMessage { revision, m_peers->ownAddress() });
                socket.value().receive();
            } catch (const Exception& exception) {
                logError(LogSeverity::Debug, "announce_failed", exception.error());
            }
        }));
    }
    for (auto& announcement : announcements)
        announcement.wait();
}

Duration GossipLoop::fetchAnnouncedPlans()
{
    std::map<std::string, uint64_t> announced;
    {
        std::lock_guard lock(m_pendingAnnouncementsMutex);
        announced.swap(m_pendingAnnouncements);
    }
    for (const auto& [address, revision] : announced) {
        if (revision > m_planExchange->stagedRevision())
            fetchPlanFrom(address);
    }
    return fetchIdleInterval;
}

void GossipLoop::fetchPlanFrom(const std::string& address)
{
    auto socket = connect(address, milliseconds(m_settings.peer->timeout_ms));
    if (!socket)
        return;
    try {
        m_planExchange->fetchFrom(socket.value());
    } catch (const Exception& exception) {
        logError(LogSeverity::Warning, "plan_fetch_failed", exception.error());
    }
}

std::optional<uint64_t> GossipLoop::exchangeWith(const std::string& address, bool shouldFetchPlan)
{
    auto socket = connect(address, milliseconds(m_settings.peer->timeout_ms));
    if (!socket) {
        logError(LogSeverity::Debug, "gossip_failed", socket.error());
        return std::nullopt;
    }
    try {
        const auto revision = exchangeEntries(socket.value());
        if (shouldFetchPlan && revision > m_planExchange->stagedRevision())
            m_planExchange->fetchFrom(socket.value());
        return revision;
    } catch (const Exception& exception) {
        logError(LogSeverity::Debug, "gossip_failed", exception.error());
        return std::nullopt;
    }
}

uint64_t GossipLoop::exchangeEntries(FrameSocket& socket)
{
    auto now = monotonicNow();
    GossipRequestMessage request;
    request.planRevision = m_planExchange->stagedRevision();
    request.bucketHashes = m_gossip->bucketHashes(now);
    request.heartbeats
        = m_gossip->recentHeartbeats(GossipTable::heartbeatWindow, GossipTable::maxHeartbeatsInRequest, now);
    socket.send(request);
    const auto received = socket.receive();
    const auto* response = std::get_if<GossipResponseMessage>(&received);
    if (!response)
        throw Exception({ ErrorKind::InvalidInput, "gossip.exchange", socket.peerNode(),
            "expected a gossip response, got another message" });

    // Entry versions are compared only in buckets whose hashes differ.
    now = monotonicNow();
    m_gossip->applyHeartbeats(response->heartbeats, now);
    auto difference = m_gossip->compare(response->buckets, response->rows, now);
    if (!difference.newer.empty() || !difference.missingKeyHashes.empty()) {
        socket.send(GossipPushMessage { std::move(difference.newer), std::move(difference.missingKeyHashes) });
        const auto pushResponse = socket.receive();
        if (const auto* ack = std::get_if<GossipPushAckMessage>(&pushResponse))
            applyEntries(ack->entries);
    }
    return response->planRevision;
}

void GossipLoop::applyEntries(const std::vector<GossipEntry>& entries)
{
    for (const auto& entry : entries) {
        if (m_gossip->apply(entry, monotonicNow()) && entry.key.starts_with(targetKeyPrefix))
            m_directory->update(decodeTargetStatus(entry.payload));
    }
}

std::pair<std::vector<AuditEntry>, std::vector<std::string>> GossipLoop::collectAudit(size_t limit) const
{
    // Requests run in parallel, because peers that are down would delay the others.
    using PeerEntries = std::optional<std::vector<AuditEntry>>;
    std::vector<std::pair<std::string, std::future<PeerEntries>>> requests;
    for (const auto& [node, address] : m_peers->alivePeers(monotonicNow())) {
        if (requests.size() == maxAuditPeers)
            break;
        requests.emplace_back(node, std::async(std::launch::async, [this, limit, peer = address]() -> PeerEntries {
            auto socket = connect(peer, milliseconds(m_settings.peer->timeout_ms));
            if (!socket)
                return std::nullopt;
            try {
                socket.value().send(AuditFetchRequestMessage { static_cast<uint32_t>(limit) });
                const auto received = socket.value().receive();
                const auto* response = std::get_if<AuditFetchResponseMessage>(&received);
                std::vector<AuditEntry> entries;
                for (const auto& encoded : response ? response->entries : std::vector<std::string>())
                    entries.push_back(decodeAuditEntry(encoded));
                return response ? PeerEntries(std::move(entries)) : std::nullopt;
            } catch (const Exception&) {
                return std::nullopt;
            }
        }));
    }
    auto entries = m_audit->latest(limit);
    std::vector<std::string> unresponsiveNodes;
    for (auto& [node, pending] : requests) {
        if (const auto peerEntries = pending.get())
            entries.insert(entries.end(), peerEntries->begin(), peerEntries->end());
        else
            unresponsiveNodes.push_back(node);
    }
    return { AuditTrail::merge(std::move(entries), limit), std::move(unresponsiveNodes) };
}

Result<FrameSocket> GossipLoop::connect(const std::string& address, Duration timeout) const
{
    return FrameSocket::connect(address, m_settings.node->id, m_fleetKey, timeout);
}

} // namespace cyclamenstair

#include <Cyclamenstair/Node/GossipLoop.h>

#include <Cyclamenstair/Codec/AuditCodec.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <future>

namespace cyclamenstair {

namespace {

    /// Heartbeats in one member timeout: one or two may be lost.
    constexpr int heartbeatsPerTimeout = 3;

    /// Peers that are told of a new revision at once. Three each reach 1,400 nodes in about seven steps.
    constexpr size_t announcedPeers = 3;

    /// An announcement must not hold up the plan: peers that miss it learn of the revision by the next exchange.
    constexpr Duration announceLimit = milliseconds(300);

    constexpr size_t joinPeers = 5;
    constexpr Duration fetchIdlePause = milliseconds(60000);
    constexpr size_t maxAnnounced = 64;
    constexpr size_t maxAuditPeers = 32;
    constexpr uint32_t maxAuditEntries = 1000;

    uint64_t unixMicroseconds()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    }

} // namespace

GossipLoop::GossipLoop(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey,
    GossipTable& gossip, PlanExchange& plans, TargetDirectory& directory, PeerDirectory& peers, AuditTrail& audit)
    : m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_fleetKey(std::move(fleetKey))
    , m_epoch(unixMicroseconds())
    , m_gossip(&gossip)
    , m_plans(&plans)
    , m_directory(&directory)
    , m_peers(&peers)
    , m_audit(&audit)
    , m_fetchThread("plan_fetch", [this] { return fetchAnnounced(); })
    , m_thread("gossip", [this] { return step(); })
{
    m_plans->setAnnouncer([this](uint64_t revision) { announceRevision(revision); });
}

void GossipLoop::stop()
{
    m_thread.stop();
    m_fetchThread.stop();
}

PeerMessage GossipLoop::answer(const PeerMessage& request)
{
    return std::visit(
        Overloaded {
            [&](const GossipRequestMessage& message) -> PeerMessage { return answerGossip(message); },
            [&](const GossipPushMessage& message) -> PeerMessage { return answerPush(message); },
            [&](const PlanFetchRequestMessage& message) -> PeerMessage { return m_plans->answer(message); },
            [&](const PlanAnnounceMessage& message) -> PeerMessage {
                const auto own = m_plans->revision();
                if (message.revision > own) {
                    std::lock_guard lock(m_announcedMutex);
                    if (m_announced.size() < maxAnnounced)
                        m_announced[message.address] = message.revision;
                    m_fetchThread.wake();
                }
                return PlanAnnounceAckMessage { own };
            },
            [&](const AuditFetchRequestMessage& message) -> PeerMessage { return answerAudit(message); },
            [](const auto&) -> PeerMessage {
                return FailureMessage { "peer.answer", "the message is not a request" };
            },
        },
        request);
}

GossipResponseMessage GossipLoop::answerGossip(const GossipRequestMessage& request)
{
    const auto now = monotonicNow();
    m_gossip->applyBeats(request.heartbeats, now);
    GossipResponseMessage response;
    response.planRevision = m_plans->revision();
    response.buckets = m_gossip->differingBuckets(request.bucketHashes, now);
    response.rows = m_gossip->rows(response.buckets, now);
    response.heartbeats
        = m_gossip->freshBeats(GossipTable::beatWindow, GossipTable::maxBeatsInResponse, now, request.heartbeats);
    return response;
}

GossipPushAckMessage GossipLoop::answerPush(const GossipPushMessage& request)
{
    applyEntries(request.entries);
    return { static_cast<uint32_t>(request.entries.size()), m_gossip->entriesByHash(request.wanted, monotonicNow()) };
}

AuditFetchResponseMessage GossipLoop::answerAudit(const AuditFetchRequestMessage& request) const
{
    AuditFetchResponseMessage response;
    for (const auto& entry : m_audit->latest(std::min(request.limit, maxAuditEntries)))
        response.entries.push_back(encodeAuditEntry(entry));
    return response;
}

Duration GossipLoop::step()
{
    const auto now = monotonicNow();
    announceSelf(now);
    m_gossip->removeExpired(now);
    m_peers->refresh(now);
    if (!m_hasJoined)
        join();
    else {
        for (const auto& address : m_peers->choose(1, now))
            exchangeWith(address, true);
    }
    return milliseconds(m_settings.peer->gossip_interval_ms);
}

void GossipLoop::join()
{
    // The peers are asked at the same time, because some may be down.
    std::vector<std::pair<std::string, std::future<std::optional<uint64_t>>>> asked;
    for (const auto& address : m_peers->choose(joinPeers, monotonicNow())) {
        asked.emplace_back(
            address, std::async(std::launch::async, [this, address] { return exchangeWith(address, false); }));
    }
    std::vector<std::pair<uint64_t, std::string>> answered;
    for (auto& [address, exchange] : asked) {
        if (const auto revision = exchange.get())
            answered.emplace_back(*revision, address);
    }
    std::sort(answered.rbegin(), answered.rend());
    for (const auto& [revision, address] : answered) {
        m_hasJoined = true;
        if (revision > m_plans->revision())
            fetchPlanFrom(address);
    }
    m_peers->refresh(monotonicNow());
}

void GossipLoop::announceSelf(TimePoint now)
{
    MemberInfo self;
    self.node = m_settings.node->id;
    self.incarnation = m_incarnation;
    self.peerAddress = m_peers->ownAddress();
    self.operatorAddress = m_settings.operator_api->address + ":" + std::to_string(m_settings.operator_api->port);
    self.region = m_settings.node->region;
    self.failureDomain = m_settings.node->failure_domain;
    self.isDraining = m_isDraining;
    auto encoded = encodeMember(self);
    const auto interval = milliseconds(m_settings.peer->member_timeout_ms) / heartbeatsPerTimeout;
    if (m_lastBeat && now - *m_lastBeat < interval && encoded == m_announcedSelf)
        return;
    m_lastBeat = now;
    m_announcedSelf = encoded;
    m_gossip->heartbeat(memberKeyPrefix + self.node, m_epoch, std::move(encoded), now);
}

void GossipLoop::announceRevision(uint64_t revision)
{
    std::vector<std::future<void>> sent;
    for (const auto& address : m_peers->choose(announcedPeers, monotonicNow())) {
        sent.push_back(std::async(std::launch::async, [this, address, revision] {
            auto socket = connect(address, announceLimit);
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
    for (auto& announcement : sent)
        announcement.wait();
}

Duration GossipLoop::fetchAnnounced()
{
    std::map<std::string, uint64_t> announced;
    {
        std::lock_guard lock(m_announcedMutex);
        announced.swap(m_announced);
    }
    for (const auto& [address, revision] : announced) {
        if (revision > m_plans->revision())
            fetchPlanFrom(address);
    }
    return fetchIdlePause;
}

void GossipLoop::fetchPlanFrom(const std::string& address)
{
    auto socket = connect(address, milliseconds(m_settings.peer->timeout_ms));
    if (!socket)
        return;
    try {
        m_plans->fetchFrom(socket.value());
    } catch (const Exception& exception) {
        logError(LogSeverity::Warning, "plan_fetch_failed", exception.error());
    }
}

std::optional<uint64_t> GossipLoop::exchangeWith(const std::string& address, bool fetchesPlan)
{
    auto socket = connect(address, milliseconds(m_settings.peer->timeout_ms));
    if (!socket) {
        logError(LogSeverity::Debug, "gossip_failed", socket.error());
        return std::nullopt;
    }
    try {
        const auto revision = exchangeOver(socket.value());
        if (fetchesPlan && revision > m_plans->revision())
            m_plans->fetchFrom(socket.value());
        return revision;
    } catch (const Exception& exception) {
        logError(LogSeverity::Debug, "gossip_failed", exception.error());
        return std::nullopt;
    }
}

uint64_t GossipLoop::exchangeOver(FrameSocket& socket)
{
    auto now = monotonicNow();
    GossipRequestMessage request;
    request.planRevision = m_plans->revision();
    request.bucketHashes = m_gossip->bucketHashes(now);
    request.heartbeats = m_gossip->freshBeats(GossipTable::beatWindow, GossipTable::maxBeatsInRequest, now);
    socket.send(request);
    const auto received = socket.receive();
    const auto* response = std::get_if<GossipResponseMessage>(&received);
    if (!response)
        throw Exception({ ErrorKind::InvalidInput, "gossip.exchange", socket.peerNode(), "unexpected answer" });

    // Versions are compared only in buckets that differ.
    now = monotonicNow();
    m_gossip->applyBeats(response->heartbeats, now);
    auto difference = m_gossip->compare(response->buckets, response->rows, now);
    if (!difference.newer.empty() || !difference.wanted.empty()) {
        socket.send(GossipPushMessage { std::move(difference.newer), std::move(difference.wanted) });
        const auto answered = socket.receive();
        if (const auto* ack = std::get_if<GossipPushAckMessage>(&answered))
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
    // The peers are asked at the same time, because some may be down.
    using Answer = std::optional<std::vector<AuditEntry>>;
    std::vector<std::pair<std::string, std::future<Answer>>> asked;
    for (const auto& [node, address] : m_peers->alivePeers(monotonicNow())) {
        if (asked.size() == maxAuditPeers)
            break;
        asked.emplace_back(node, std::async(std::launch::async, [this, limit, peer = address]() -> Answer {
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
                return response ? Answer(std::move(entries)) : std::nullopt;
            } catch (const Exception&) {
                return std::nullopt;
            }
        }));
    }
    auto entries = m_audit->latest(limit);
    std::vector<std::string> silent;
    for (auto& [node, pending] : asked) {
        if (const auto answer = pending.get())
            entries.insert(entries.end(), answer->begin(), answer->end());
        else
            silent.push_back(node);
    }
    return { AuditTrail::merge(std::move(entries), limit), std::move(silent) };
}

Result<FrameSocket> GossipLoop::connect(const std::string& address, Duration limit) const
{
    return FrameSocket::connect(address, m_settings.node->id, m_fleetKey, limit);
}

} // namespace cyclamenstair

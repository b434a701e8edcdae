#include <Cyclamenstair/Entry/PeerMesh.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>

namespace cyclamenstair {

using boost::asio::ip::tcp;

namespace {

    /// An unchanged share is sent again after this time, before it expires at the receiver.
    constexpr Duration maxLoadShareInterval = milliseconds(900);
    /// Time from an adapter order until the target holds the adapter. Earlier requests would be rejected.
    constexpr Duration adapterLoadTime = milliseconds(60);
    constexpr Duration connectInterval = milliseconds(1000);
    /// Time after which unchanged evidence against prompt parts is sent again, for nodes that have connected meanwhile.
    constexpr Duration quarantineRefreshInterval = milliseconds(1000);
    /// Time for which a new node waits for the store before it asks its peers. Snapshots for many nodes that start
    /// together would fill the links of the seeds.
    constexpr Duration snapshotDelay = milliseconds(400);
    /// Time between two requests to the same peer, which may not have the records itself. A snapshot can be as large as
    /// a frame.
    constexpr Duration snapshotInterval = milliseconds(500);

} // namespace

Result<std::unique_ptr<PeerMesh>> PeerMesh::create(boost::asio::io_context& context, EntryState& state,
    const PeerNode& self, const std::vector<std::string>& seeds, SnapshotHandlers snapshotHandlers, StoreRelay& relay)
{
    const auto& listenAddress = self.address;
    std::unique_ptr<TcpAcceptor> acceptor;
    if (!listenAddress.empty()) {
        auto created = TcpAcceptor::create(context, listenAddress, "peer.listen");
        if (!created)
            return created.error();
        acceptor = std::move(created).value();
    }
    return std::unique_ptr<PeerMesh>(
        new PeerMesh(context, state, self, seeds, std::move(snapshotHandlers), relay, std::move(acceptor)));
}

PeerMesh::PeerMesh(boost::asio::io_context& context, EntryState& state, PeerNode self,
    const std::vector<std::string>& seeds, SnapshotHandlers snapshotHandlers, StoreRelay& relay,
    std::unique_ptr<TcpAcceptor> acceptor)
    : m_context(&context)
    , m_state(&state)
    , m_self(std::move(self))
    , m_seeds(seeds.begin(), seeds.end())
    , m_snapshotHandlers(std::move(snapshotHandlers))
    , m_acceptor(std::move(acceptor))
    , m_timer(context)
    , m_relay(&relay)
    , m_topology(state.nodeId)
    , m_exchange(state.nodeId)
    , m_usageExchange(state.nodeId)
{
    m_topology.setNodes({}, m_self);
    m_relay->setSender([this](const StoreUpdate& update) {
        if (isCollecting())
            sendToMembers(encodeEntryMessage(update));
    });
}

void PeerMesh::start()
{
    if (!m_acceptor)
        return;
    m_startedAt = monotonicNow();
    m_acceptor->start([this]() -> boost::asio::io_context& { return *m_context; },
        [this](tcp::socket socket) { addChannel(std::move(socket)); });
    tick();
}

void PeerMesh::setNodes(PeerNodes nodes)
{
    m_areNodesKnown = !nodes.empty();
    m_state->setNodeCount(nodes.size());
    m_topology.setNodes(std::move(nodes), m_self);
    m_state->targets.setLargeFleet(!m_topology.isDirect());
    const auto& known = m_topology.nodes();
    m_state->targets.setNodeCount(
        known.size(), static_cast<size_t>(std::distance(known.begin(), known.lower_bound(m_state->nodeId))));
    std::vector<RelayPeer> relays;
    for (const auto& [id, node] : m_topology.nodes()) {
        if (id != m_state->nodeId)
            relays.push_back({ id, node.relayAddress, node.failureDomain, node.cpuShare });
    }
    m_state->relays.setPeers(relays);
}

TimePoint PeerMesh::inStepAt()
{
    m_contacts.tick(suspendAwareNow());
    size_t count = m_topology.nodes().size() / 2;
    if (!m_topology.isDirect())
        count = isCollecting() ? m_topology.domainCount() / 2 : 1;
    // Until the nodes are known, the seeds are.
    if (!m_areNodesKnown && m_seeds.size() > m_seeds.count(m_self.address))
        count = std::max<size_t>(count, 1);
    return m_contacts.heardAt(count, suspendAwareNow());
}

DemandShare PeerMesh::totalDemand() const { return m_exchange.totalDemand(ownDemand()); }

size_t PeerMesh::leaseCompetitorCount() const
{
    return m_topology.isDirect() ? m_topology.nodes().size() : m_topology.domainCount();
}

DemandShare PeerMesh::ownDemand() const
{
    return { m_state->nodeId, m_state->demand.demand(monotonicNow()), m_state->targets.inFlightByTargetAndModel() };
}

bool PeerMesh::isCollecting() const
{
    return !m_topology.isDirect() && (m_topology.isOwnCollector() || m_exchange.hasMembers());
}

void PeerMesh::addChannel(tcp::socket socket)
{
    std::erase_if(m_acceptedChannels, [](const auto& channel) { return channel->isClosed(); });
    auto channel = std::make_shared<FrameChannel>(std::move(socket),
        FrameChannel::Handlers {
            [this](const auto& sender, const std::string& content) { onFrame(sender, content); }, nullptr },
        &m_state->controlBuffers);
    channel->start();
    m_acceptedChannels.insert(std::move(channel));
}

void PeerMesh::tick()
{
    // Before the work, so that an exception in it does not end the ticks.
    m_timer.expires_after(loadShareInterval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tick();
    });
    const auto now = monotonicNow();
    m_exchange.expire(now);
    m_usageExchange.expire(suspendAwareNow());
    m_topology.update(isCollecting(), now);
    updateRelay(now);
    updateLinks(now);
    m_exchange.setIsolated(m_state->reach.isIsolated());
    // Before the shares, by which the receiver sees that it is in step.
    sendVersions();
    sendShares(now);
    sendUsage(now);
    applyRemoteLoads(now);
    applyRemoteUsage();
    sendDueNotices(now);
    sendQuarantine(now);
    if (!m_state->areTargetsKnown || !m_state->catalog.current())
        requestSnapshot(now);
}

void PeerMesh::updateRelay(TimePoint now)
{
    const bool mustWatch = m_topology.isDirect() || isCollecting() || m_leaseHolder == m_state->nodeId;
    const auto collector = mustWatch ? std::string() : m_topology.collector();
    if (m_relay->update(collector, isCollecting(), now))
        sendToNode(collector, encodeEntryMessage(StoreSyncRequest { m_state->nodeId }));
}

void PeerMesh::updateLinks(TimePoint now)
{
    std::set<std::string> peerAddresses;
    if (!m_areNodesKnown || m_topology.isDirect())
        peerAddresses = m_seeds;
    for (const auto& node : m_topology.peers(isCollecting(), m_leaseHolder))
        peerAddresses.insert(m_topology.nodes().at(node).address);
    peerAddresses.erase(m_self.address);
    std::erase_if(m_links, [&](const auto& link) {
        if (peerAddresses.contains(link.first))
            return false;
        if (link.second.channel)
            link.second.channel->close();
        return true;
    });
    for (const auto& address : peerAddresses) {
        auto& link = m_links[address];
        const bool isDisconnected = !link.channel || link.channel->isClosed();
        if (isDisconnected && now - link.lastConnectAttemptAt >= connectInterval) {
            link.lastConnectAttemptAt = now;
            openLink(address, link);
        }
    }
}

void PeerMesh::openLink(const std::string& address, Link& link)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        logError(LogSeverity::Warning, "peer_address_malformed", endpoint.error());
        return;
    }
    link.isSnapshotRequested = false;
    link.snapshotRequestedAt = {};
    link.areVersionsSent = false;
    link.channel = std::make_shared<FrameChannel>(tcp::socket(*m_context),
        FrameChannel::Handlers { [this](const auto& sender, const std::string& content) { onFrame(sender, content); },
            [this, address] {
                const auto entry = m_links.find(address);
                if (entry != m_links.end())
                    entry->second.channel.reset();
            } },
        &m_state->controlBuffers);
    link.channel->connect(endpoint.value());
}

void PeerMesh::sendShares(TimePoint now)
{
    const bool isDirect = m_topology.isDirect();
    if (now - m_lastShareSentAt < (isDirect ? loadShareInterval / 2 : groupShareInterval))
        return;
    auto own = m_state->targets.sharedLoads(now);
    std::erase_if(own, [](const auto& entry) {
        return entry.second.inFlight == 0 && entry.second.answers == 0 && entry.second.brittleLimit == 0;
    });
    if (isCollecting()) {
        m_lastShareSentAt = now;
        sendAsCollector(own);
        return;
    }
    const auto collector = isDirect ? std::string() : m_topology.collector();
    const bool isIsolated = m_state->reach.isIsolated();
    if (own == m_lastShare && isIsolated == m_wasIsolated && collector == m_lastCollector
        && now - m_lastShareSentAt < maxLoadShareInterval)
        return;
    m_lastShareSentAt = now;
    m_lastCollector = collector;
    m_wasIsolated = isIsolated;
    if (isDirect)
        sendToAll(own);
    else
        sendToCollector(own);
    m_lastShare = std::move(own);
}

void PeerMesh::sendToAll(const TargetWorkloads& own)
{
    const auto frame = encodeEntryMessage(LoadShare { m_state->nodeId, own, false, m_exchange.ownIsolation() });
    for (const auto& [address, link] : m_links) {
        if (link.channel && link.channel->isOpen())
            link.channel->send(frame);
    }
    if (m_leaseHolder != m_state->nodeId)
        sendToNode(m_leaseHolder, encodeEntryMessage(ownDemand()));
}

void PeerMesh::sendToCollector(const TargetWorkloads& own)
{
    const auto& collector = m_topology.collector();
    sendToNode(collector, encodeEntryMessage(LoadShare { m_state->nodeId, own, false, m_exchange.ownIsolation() }));
    // The lease holder counts its own demand itself.
    if (m_leaseHolder != m_state->nodeId)
        sendToNode(collector, encodeEntryMessage(ownDemand()));
}

void PeerMesh::sendAsCollector(const TargetWorkloads& own)
{
    const auto groupFrame = encodeEntryMessage(m_exchange.groupShare(own));
    for (const auto& collector : otherCollectors())
        sendToNode(collector, groupFrame);
    auto summary = m_exchange.summary(own);
    summary.storeSequence = m_relay->sequence();
    sendToMembers(encodeEntryMessage(summary));
    if (m_leaseHolder != m_state->nodeId)
        sendToNode(m_leaseHolder, encodeEntryMessage(m_exchange.groupDemand(ownDemand())));
}

void PeerMesh::applyRemoteLoads(TimePoint now)
{
    const bool usesSummary = !m_topology.isDirect() && !isCollecting();
    m_state->relays.setIsolated(m_exchange.isolatedNodes(usesSummary));
    for (const auto& change : m_state->targets.setRemoteLoads(m_exchange.remoteLoads(usesSummary), now)) {
        logEvent(LogSeverity::Info, change.isUnresponsive ? "target_unresponsive" : "target_responsive",
            { { "target", change.target }, { "overdue", std::to_string(change.overdue) },
                { "in_flight", std::to_string(change.inFlight) } });
        if (change.isUnresponsive)
            m_state->metrics.add(Metric::UnresponsiveTargets);
    }
}

std::set<std::string> PeerMesh::otherCollectors() const
{
    std::set<std::string> collectors;
    for (auto& candidate : m_topology.candidates())
        collectors.insert(std::move(candidate));
    // Collectors that took over are not candidates that all nodes know, but they send shares themselves.
    for (auto& collector : m_exchange.collectors())
        collectors.insert(std::move(collector));
    return collectors;
}

void PeerMesh::announce(ResidencyNotice notice)
{
    auto target = notice.target;
    m_pendingNotices[std::move(target)] = { monotonicNow(), std::move(notice) };
}

void PeerMesh::shareStreamOrigins(std::vector<StreamOrigin> origins)
{
    sendToNeighbours(encodeEntryMessage(StreamOriginShare { m_state->nodeId, std::move(origins) }));
}

void PeerMesh::sendDueNotices(TimePoint now)
{
    for (auto entry = m_pendingNotices.begin(); entry != m_pendingNotices.end();) {
        const auto& [orderedAt, notice] = entry->second;
        if (now - orderedAt < adapterLoadTime) {
            ++entry;
            continue;
        }
        m_state->targets.setModels(notice.service, notice.target, notice.models);
        sendToNeighbours(encodeEntryMessage(notice));
        entry = m_pendingNotices.erase(entry);
    }
}

void PeerMesh::sendQuarantine(TimePoint now)
{
    // Read before the rows, so that a change meanwhile is sent with the next ones.
    const auto version = m_state->quarantine.version();
    if (version == m_sentQuarantineVersion && now - m_lastQuarantineSentAt < quarantineRefreshInterval)
        return;
    m_sentQuarantineVersion = version;
    m_lastQuarantineSentAt = now;
    auto rows = m_state->quarantine.rows(now);
    if (!rows.empty())
        sendToNeighbours(encodeEntryMessage(QuarantineShare { m_state->nodeId, std::move(rows) }));
}

void PeerMesh::sendVersions()
{
    auto versions = m_state->targets.softwareVersions();
    if (versions.empty())
        return;
    const auto encode = [](std::set<ServiceVersion> sent) {
        return encodeEntryMessage(Snapshot { {}, {}, false, std::move(sent), false });
    };
    const bool isChanged = versions != m_sentVersions;
    for (auto& [address, link] : m_links) {
        if (!link.channel || !link.channel->isOpen() || (link.areVersionsSent && !isChanged))
            continue;
        // A node that was cut off may also have missed versions that have left. They are sent once only, so that nodes
        // do not keep each other from forgetting them.
        link.channel->send(encode(link.areVersionsSent ? versions : m_state->versions.versions(monotonicNow())));
        link.areVersionsSent = true;
    }
    if (isCollecting() && isChanged)
        sendToMembers(encode(versions));
    m_sentVersions = std::move(versions);
}

void PeerMesh::sendToNeighbours(const std::string& frame)
{
    for (const auto& [address, link] : m_links) {
        if (link.channel && link.channel->isOpen())
            link.channel->send(frame);
    }
    if (isCollecting())
        sendToMembers(frame);
}

void PeerMesh::sendToNode(const std::string& node, const std::string& frame)
{
    std::shared_ptr<FrameChannel> channel;
    if (const auto peer = m_topology.nodes().find(node); peer != m_topology.nodes().end()) {
        const auto link = m_links.find(peer->second.address);
        if (link != m_links.end())
            channel = link->second.channel;
    }
    if (!channel || !channel->isOpen()) {
        const auto sender = m_senders.find(node);
        if (sender != m_senders.end())
            channel = sender->second.lock();
    }
    if (channel && channel->isOpen())
        channel->send(frame);
}

void PeerMesh::sendToMembers(const std::string& frame, const std::shared_ptr<FrameChannel>& excluded)
{
    for (const auto& member : m_exchange.members()) {
        const auto sender = m_senders.find(member);
        const auto channel = sender == m_senders.end() ? nullptr : sender->second.lock();
        if (channel && channel != excluded && channel->isOpen())
            channel->send(frame);
    }
}

void PeerMesh::requestSnapshot(TimePoint now)
{
    if (now - m_startedAt < snapshotDelay)
        return;
    for (auto& [address, link] : m_links) {
        if (!link.channel || !link.channel->isOpen() || link.isSnapshotRequested
            || now - link.snapshotRequestedAt < snapshotInterval)
            continue;
        link.isSnapshotRequested = true;
        link.snapshotRequestedAt = now;
        link.channel->send(encodeEntryMessage(SnapshotRequest { m_state->nodeId }));
    }
}

} // namespace cyclamenstair

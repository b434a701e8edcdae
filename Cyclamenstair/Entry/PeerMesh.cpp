#include <Cyclamenstair/Entry/PeerMesh.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>

namespace cyclamenstair {

using boost::asio::ip::tcp;

namespace {

    /// Interval at which a changed load is sent. Requests arrive every few milliseconds over all nodes, and traffic
    /// between failure domains is billed, so changes are batched.
    constexpr Duration loadShareInterval = milliseconds(100);
    /// An unchanged share is sent again after this time, before it expires at the receiver.
    constexpr Duration maxLoadShareInterval = milliseconds(900);
    /// A peer's load is ignored once it is older than this; the node is then considered gone.
    constexpr Duration peerLoadValidity = milliseconds(2500);
    /// Time from an adapter order until the target holds the adapter. Earlier requests would be rejected.
    constexpr Duration adapterLoadTime = milliseconds(60);
    constexpr Duration connectInterval = milliseconds(1000);

} // namespace

Result<std::unique_ptr<PeerMesh>> PeerMesh::create(boost::asio::io_context& context, EntryState& state,
    const std::string& listenAddress, const std::vector<std::string>& seeds, SnapshotHandlers snapshotHandlers)
{
    tcp::acceptor acceptor(context);
    if (!listenAddress.empty()) {
        const auto endpoint = parseEndpoint(listenAddress);
        if (!endpoint)
            return endpoint.error();
        boost::system::error_code ec;
        acceptor.open(endpoint.value().protocol(), ec);
        if (!ec)
            acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
        if (!ec)
            acceptor.bind(endpoint.value(), ec);
        if (!ec)
            acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
        if (ec)
            return Error { ErrorKind::Unavailable, "peer.listen", listenAddress, ec.message() };
    }
    return std::unique_ptr<PeerMesh>(
        new PeerMesh(context, state, listenAddress, seeds, std::move(snapshotHandlers), std::move(acceptor)));
}

PeerMesh::PeerMesh(boost::asio::io_context& context, EntryState& state, std::string address,
    const std::vector<std::string>& seeds, SnapshotHandlers snapshotHandlers, tcp::acceptor acceptor)
    : m_context(&context)
    , m_state(&state)
    , m_address(std::move(address))
    , m_seeds(seeds.begin(), seeds.end())
    , m_snapshotHandlers(std::move(snapshotHandlers))
    , m_acceptor(std::move(acceptor))
    , m_timer(context)
{
}

void PeerMesh::start()
{
    if (!m_acceptor.is_open())
        return;
    accept();
    tick();
}

void PeerMesh::setNodeAddresses(std::map<std::string, std::string> addresses)
{
    m_nodeAddresses = std::move(addresses);
    m_state->setNodeCount(m_nodeAddresses.size());
}

std::map<ArtifactKey, ArtifactWorkload> PeerMesh::demand() const
{
    const auto now = monotonicNow();
    auto total = m_state->demand.demand(now);
    for (const auto& [node, peer] : m_peerLoads) {
        if (now - peer.receivedAt > peerLoadValidity)
            continue;
        for (const auto& [artifact, load] : peer.demands) {
            auto& artifactTotal = total[artifact];
            artifactTotal.arrivalsPerSecond += load.arrivalsPerSecond;
            artifactTotal.inProgress += load.inProgress;
            artifactTotal.waiting += load.waiting;
        }
    }
    return total;
}

InFlightByTargetAndModel PeerMesh::modelRuns() const
{
    const auto now = monotonicNow();
    auto total = m_state->targets.inFlightByTargetAndModel();
    for (const auto& [node, peer] : m_peerLoads) {
        if (now - peer.receivedAt > peerLoadValidity)
            continue;
        for (const auto& [target, models] : peer.modelRuns) {
            for (const auto& [model, inFlight] : models)
                total[target][model] += inFlight;
        }
    }
    return total;
}

void PeerMesh::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (ec) {
            logEvent(LogSeverity::Warning, "peer_accept_failed", { { "message", ec.message() } });
        } else {
            std::erase_if(m_acceptedChannels, [](const auto& channel) { return channel->isClosed(); });
            auto channel = std::make_shared<FrameChannel>(std::move(socket),
                FrameChannel::Handlers {
                    [this](const auto& sender, const std::string& content) { onFrame(sender, content); }, nullptr });
            channel->start();
            m_acceptedChannels.insert(std::move(channel));
        }
        accept();
    });
}

void PeerMesh::tick()
{
    const auto now = monotonicNow();
    updateLinks(now);
    sendLoadShare(now);
    sendDueNotices(now);
    if (!m_state->areTargetsKnown || !m_state->catalog.current())
        requestSnapshot();
    m_timer.expires_after(loadShareInterval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tick();
    });
}

void PeerMesh::updateLinks(TimePoint now)
{
    std::set<std::string> peerAddresses = m_seeds;
    for (const auto& [node, address] : m_nodeAddresses)
        peerAddresses.insert(address);
    peerAddresses.erase(m_address);
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
    link.channel = std::make_shared<FrameChannel>(tcp::socket(*m_context),
        FrameChannel::Handlers { [this](const auto& sender, const std::string& content) { onFrame(sender, content); },
            [this, address] {
                const auto entry = m_links.find(address);
                if (entry != m_links.end())
                    entry->second.channel.reset();
            } });
    link.channel->connect(endpoint.value());
}

void PeerMesh::sendLoadShare(TimePoint now)
{
    LoadShare share { m_state->nodeId, m_state->targets.loads(), {}, {} };
    std::erase_if(share.loads, [](const auto& entry) { return entry.second.inFlight == 0; });
    if (share == m_lastShare && now - m_lastShareSentAt < maxLoadShareInterval)
        return;
    m_lastShare = share;
    m_lastShareSentAt = now;
    const auto frameForAll = encodeEntryMessage(share);
    share.demands = m_state->demand.demand(now);
    share.modelRuns = m_state->targets.inFlightByTargetAndModel();
    const auto frameForLeaseHolder = encodeEntryMessage(share);
    for (const auto& [address, link] : m_links) {
        if (link.channel && link.channel->isOpen())
            link.channel->send(isLeaseHolderAddress(address) ? frameForLeaseHolder : frameForAll);
    }
}

void PeerMesh::announce(ResidencyNotice notice)
{
    auto target = notice.target;
    m_pendingNotices[std::move(target)] = { monotonicNow(), std::move(notice) };
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
        broadcast(encodeEntryMessage(notice));
        entry = m_pendingNotices.erase(entry);
    }
}

void PeerMesh::broadcast(const std::string& frame)
{
    for (const auto& [address, link] : m_links) {
        if (link.channel && link.channel->isOpen())
            link.channel->send(frame);
    }
}

void PeerMesh::requestSnapshot()
{
    for (auto& [address, link] : m_links) {
        if (!link.channel || !link.channel->isOpen() || link.isSnapshotRequested)
            continue;
        link.isSnapshotRequested = true;
        link.channel->send(encodeEntryMessage(SnapshotRequest { m_state->nodeId }));
    }
}

void PeerMesh::onFrame(const std::shared_ptr<FrameChannel>& sender, const std::string& content)
{
    try {
        std::visit([&](const auto& message) { handleMessage(sender, message); }, decodeEntryMessage(content));
    } catch (const Exception& exception) {
        logError(LogSeverity::Warning, "peer_message_rejected", exception.error());
        sender->close();
    }
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>&, const LoadShare& share)
{
    const auto now = monotonicNow();
    m_state->targets.setRemoteLoads(share.node, share.loads, now);
    if (!share.demands.empty())
        m_peerLoads[share.node] = { share.demands, share.modelRuns, now };
    std::erase_if(m_peerLoads, [&](const auto& peer) { return now - peer.second.receivedAt > peerLoadValidity; });
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>& sender, const SnapshotRequest& request)
{
    logEvent(LogSeverity::Info, "snapshot_asked", { { "peer", request.node } });
    sender->send(encodeEntryMessage(m_snapshotHandlers.create()));
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>&, const Snapshot& snapshot)
{
    m_snapshotHandlers.apply(snapshot);
    // Request again: the peer may not have had the records itself.
    if (!m_state->areTargetsKnown || !m_state->catalog.current()) {
        for (auto& [address, link] : m_links)
            link.isSnapshotRequested = false;
    }
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>&, const ResidencyNotice& notice)
{
    m_state->targets.setModels(notice.service, notice.target, notice.models);
}

bool PeerMesh::isLeaseHolderAddress(const std::string& address) const
{
    const auto leaseHolder = m_nodeAddresses.find(m_leaseHolder);
    return leaseHolder != m_nodeAddresses.end() && leaseHolder->second == address;
}

} // namespace cyclamenstair

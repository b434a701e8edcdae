#include <Cyclamenstair/Entry/PeerMesh.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>

namespace cyclamenstair {

using boost::asio::ip::tcp;

namespace {

    /// Time between two looks at the load. Requests arrive every few milliseconds over all nodes; traffic between
    /// failure domains is billed.
    constexpr Duration shareInterval = milliseconds(100);
    /// A share that does not change is sent again after this time, so that it does not lapse at the receiver.
    constexpr Duration longestShareInterval = milliseconds(900);
    /// Demand that was not heard of for this long is of a node that is gone.
    constexpr Duration demandValidity = milliseconds(2500);
    /// Time from an order for an adapter until the target holds it; requests that come sooner are turned away.
    constexpr Duration adapterLoadTime = milliseconds(60);
    constexpr Duration connectInterval = milliseconds(1000);

} // namespace

Result<std::unique_ptr<PeerMesh>> PeerMesh::create(boost::asio::io_context& context, EntryState& state,
    const std::string& listen, const std::vector<std::string>& seeds, SnapshotHandlers snapshots)
{
    tcp::acceptor acceptor(context);
    if (!listen.empty()) {
        const auto endpoint = parseEndpoint(listen);
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
            return Error { ErrorKind::Unavailable, "peer.listen", listen, ec.message() };
    }
    return std::unique_ptr<PeerMesh>(
        new PeerMesh(context, state, listen, seeds, std::move(snapshots), std::move(acceptor)));
}

PeerMesh::PeerMesh(boost::asio::io_context& context, EntryState& state, std::string address,
    const std::vector<std::string>& seeds, SnapshotHandlers snapshots, tcp::acceptor acceptor)
    : m_context(&context)
    , m_state(&state)
    , m_address(std::move(address))
    , m_seeds(seeds.begin(), seeds.end())
    , m_snapshots(std::move(snapshots))
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

void PeerMesh::setNodes(std::map<std::string, std::string> nodes)
{
    m_nodes = std::move(nodes);
    m_state->noteNodes(m_nodes.size());
}

std::map<ArtifactKey, ArtifactWorkload> PeerMesh::demand() const
{
    const auto now = monotonicNow();
    auto sum = m_state->demand.demand(now);
    for (const auto& [node, peer] : m_demands) {
        if (now - peer.at > demandValidity)
            continue;
        for (const auto& [artifact, load] : peer.demands) {
            auto& total = sum[artifact];
            total.arrivalsPerSecond += load.arrivalsPerSecond;
            total.inProgress += load.inProgress;
            total.waiting += load.waiting;
        }
    }
    return sum;
}

InFlightByTargetAndModel PeerMesh::modelRuns() const
{
    const auto now = monotonicNow();
    auto sum = m_state->targets.inFlightByTargetAndModel();
    for (const auto& [node, peer] : m_demands) {
        if (now - peer.at > demandValidity)
            continue;
        for (const auto& [target, models] : peer.modelRuns) {
            for (const auto& [model, inFlight] : models)
                sum[target][model] += inFlight;
        }
    }
    return sum;
}

void PeerMesh::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (ec) {
            logEvent(LogSeverity::Warning, "peer_accept_failed", { { "message", ec.message() } });
        } else {
            std::erase_if(m_accepted, [](const auto& channel) { return channel->isClosed(); });
            auto channel = std::make_shared<FrameChannel>(std::move(socket),
                FrameChannel::Handlers {
                    [this](const auto& from, const std::string& content) { onFrame(from, content); }, nullptr });
            channel->start();
            m_accepted.insert(std::move(channel));
        }
        accept();
    });
}

void PeerMesh::tick()
{
    const auto now = monotonicNow();
    connectLinks(now);
    shareLoad(now);
    sendNotices(now);
    if (!m_state->areTargetsKnown || !m_state->catalog.current())
        askForSnapshot();
    m_timer.expires_after(shareInterval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tick();
    });
}

void PeerMesh::connectLinks(TimePoint now)
{
    std::set<std::string> wanted = m_seeds;
    for (const auto& [node, address] : m_nodes)
        wanted.insert(address);
    wanted.erase(m_address);
    std::erase_if(m_links, [&](const auto& link) {
        if (wanted.contains(link.first))
            return false;
        if (link.second.channel)
            link.second.channel->close();
        return true;
    });
    for (const auto& address : wanted) {
        auto& link = m_links[address];
        const bool isGone = !link.channel || link.channel->isClosed();
        if (isGone && now - link.triedAt >= connectInterval) {
            link.triedAt = now;
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
    link.isSnapshotAsked = false;
    link.channel = std::make_shared<FrameChannel>(tcp::socket(*m_context),
        FrameChannel::Handlers { [this](const auto& from, const std::string& content) { onFrame(from, content); },
            [this, address] {
                const auto found = m_links.find(address);
                if (found != m_links.end())
                    found->second.channel.reset();
            } });
    link.channel->connect(endpoint.value());
}

void PeerMesh::shareLoad(TimePoint now)
{
    LoadShare share { m_state->nodeId, m_state->targets.loads(), {}, {} };
    std::erase_if(share.loads, [](const auto& entry) { return entry.second.inFlight == 0; });
    if (share == m_shared && now - m_sharedAt < longestShareInterval)
        return;
    m_shared = share;
    m_sharedAt = now;
    const auto forAll = encodeEntryMessage(share);
    share.demands = m_state->demand.demand(now);
    share.modelRuns = m_state->targets.inFlightByTargetAndModel();
    const auto forHolder = encodeEntryMessage(share);
    for (const auto& [address, link] : m_links) {
        if (link.channel && link.channel->isOpen())
            link.channel->send(isHolderAt(address) ? forHolder : forAll);
    }
}

void PeerMesh::announce(ResidencyNotice notice)
{
    auto target = notice.target;
    m_notices[std::move(target)] = { monotonicNow(), std::move(notice) };
}

void PeerMesh::sendNotices(TimePoint now)
{
    for (auto entry = m_notices.begin(); entry != m_notices.end();) {
        const auto& [orderedAt, notice] = entry->second;
        if (now - orderedAt < adapterLoadTime) {
            ++entry;
            continue;
        }
        m_state->targets.setModels(notice.service, notice.target, notice.models);
        broadcast(encodeEntryMessage(notice));
        entry = m_notices.erase(entry);
    }
}

void PeerMesh::broadcast(const std::string& frame)
{
    for (const auto& [address, link] : m_links) {
        if (link.channel && link.channel->isOpen())
            link.channel->send(frame);
    }
}

void PeerMesh::askForSnapshot()
{
    for (auto& [address, link] : m_links) {
        if (!link.channel || !link.channel->isOpen() || link.isSnapshotAsked)
            continue;
        link.isSnapshotAsked = true;
        link.channel->send(encodeEntryMessage(SnapshotRequest { m_state->nodeId }));
    }
}

void PeerMesh::onFrame(const std::shared_ptr<FrameChannel>& from, const std::string& content)
{
    try {
        std::visit([&](const auto& message) { on(from, message); }, decodeEntryMessage(content));
    } catch (const Exception& exception) {
        logError(LogSeverity::Warning, "peer_message_rejected", exception.error());
        from->close();
    }
}

void PeerMesh::on(const std::shared_ptr<FrameChannel>&, const LoadShare& share)
{
    const auto now = monotonicNow();
    m_state->targets.setRemoteLoads(share.node, share.loads, now);
    if (!share.demands.empty())
        m_demands[share.node] = { share.demands, share.modelRuns, now };
    std::erase_if(m_demands, [&](const auto& peer) { return now - peer.second.at > demandValidity; });
}

void PeerMesh::on(const std::shared_ptr<FrameChannel>& from, const SnapshotRequest& request)
{
    logEvent(LogSeverity::Info, "snapshot_asked", { { "peer", request.node } });
    from->send(encodeEntryMessage(m_snapshots.make()));
}

void PeerMesh::on(const std::shared_ptr<FrameChannel>&, const Snapshot& snapshot)
{
    m_snapshots.take(snapshot);
    // A peer that knew nothing itself is asked again.
    if (!m_state->areTargetsKnown || !m_state->catalog.current()) {
        for (auto& [address, link] : m_links)
            link.isSnapshotAsked = false;
    }
}

void PeerMesh::on(const std::shared_ptr<FrameChannel>&, const ResidencyNotice& notice)
{
    m_state->targets.setModels(notice.service, notice.target, notice.models);
}

bool PeerMesh::isHolderAt(const std::string& address) const
{
    const auto holder = m_nodes.find(m_holder);
    return holder != m_nodes.end() && holder->second == address;
}

} // namespace cyclamenstair

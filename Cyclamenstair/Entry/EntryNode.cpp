#include <Cyclamenstair/Entry/EntryNode.h>

#include <Cyclamenstair/Entry/RequestExchange.h>
#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <platform/PlatformKeys.h>
#include <platform/RequestCodec.h>

#include <algorithm>
#include <exception>
#include <future>
#include <sstream>

namespace cyclamenstair {

namespace {

    /// Time from the first failing readiness probe until connections are closed after their response: two probe
    /// intervals of 1 s each, plus a margin.
    constexpr Duration drainDelay = milliseconds(2500);
    /// Time from the start of a shutdown until new requests that might outlast the grace period are refused. Callers
    /// still connect until then: a zone with few ready nodes receives connections at all of its nodes.
    constexpr Duration refusalDelay = milliseconds(2900);
    /// Part of the grace period reserved for the exit of the process.
    constexpr Duration exitMargin = milliseconds(1000);
    /// Part of exitMargin in which the requests that are still in progress are answered.
    constexpr Duration finalAnswerTime = milliseconds(500);
    /// Interval at which a shutdown checks for requests in progress.
    constexpr Duration shutdownPollInterval = milliseconds(50);
    /// Margin added to the minimum time that targets require between orders of two nodes, for orders in transit.
    constexpr Duration orderGapMargin = milliseconds(300);
    /// Time to live of the order lease. Short, so that a new holder is elected soon; raised to the store's minimum.
    constexpr Duration leaseTimeToLive = milliseconds(1200);
    /// Fraction of the time to live during which orders are sent; see OrderLeaseSettings::validity.
    constexpr double leaseValidityFraction = 0.5;

    /// Delay of a node with a whole core before it tries to take a free order lease; divided by the node's share of
    /// one.
    constexpr Duration acquireDelayOfWholeCore = milliseconds(30);
    constexpr Duration maxAcquireDelay = milliseconds(400);

    OrderLeaseSettings leaseSettings(const schema::ControlSettingsT& control, double cpuShare)
    {
        OrderLeaseSettings settings;
        settings.acquireDelay
            = std::min(maxAcquireDelay, std::chrono::duration_cast<Duration>(acquireDelayOfWholeCore / cpuShare));
        settings.timeToLive = std::max(leaseTimeToLive, milliseconds(control.min_lease_ms));
        settings.renewalValidity = std::chrono::duration_cast<Duration>(settings.timeToLive * leaseValidityFraction);
        const auto orderGap = milliseconds(control.order_gap_ms) + orderGapMargin;
        settings.takeoverDelay = std::max(orderGapMargin, orderGap - (settings.timeToLive - settings.renewalValidity));
        settings.newEraDelay = orderGap + settings.renewalValidity;
        return settings;
    }

    /// Without a relay address, at which the node may not be able to listen yet.
    PeerNode selfAsPeer(const schema::SettingsT& settings)
    {
        return { settings.entry->peer_listen, settings.node->failure_domain, settings.entry->cpu_share };
    }

    std::vector<std::string> seedsOf(const schema::SettingsT& settings)
    {
        std::vector<std::string> seeds;
        std::istringstream list(settings.entry->seeds);
        for (std::string seed; std::getline(list, seed, ',');)
            seeds.push_back(seed);
        return seeds;
    }

    /// Runs the function on the loop's thread and waits for it. Returns an error if it throws an exception.
    std::optional<Error> runOnLoop(EventLoop& loop, const std::string& step, const std::function<void()>& function)
    {
        std::promise<void> done;
        loop.post([&] {
            try {
                function();
                done.set_value();
            } catch (...) {
                done.set_exception(std::current_exception());
            }
        });
        try {
            done.get_future().get();
        } catch (const std::exception& exception) {
            return Error { ErrorKind::Unavailable, step, {}, exception.what() };
        } catch (...) {
            return Error { ErrorKind::Unavailable, step, {}, "unknown exception" };
        }
        return std::nullopt;
    }

} // namespace

Result<std::unique_ptr<EntryNode>> EntryNode::create(const schema::SettingsT& settings, const ProcessStart& start)
{
    const auto store = parseEndpoint(settings.control->store);
    if (!store)
        return store.error();
    std::unique_ptr<EntryNode> node(new EntryNode(settings, store.value()));
    if (auto error = node->createPeerMesh())
        return *error;
    std::vector<EventLoop*> loops;
    for (const auto& loop : node->m_loops)
        loops.push_back(&loop->loop());
    auto* const self = node.get();
    auto callerListener = self->listen(settings.entry->listen, loops,
        [self](size_t loop, const std::shared_ptr<ServerConnection>& connection, HttpRequest request) {
            RequestExchange::serve(*self->m_loops[loop], connection, std::move(request));
        });
    if (!callerListener)
        return callerListener.error();
    if (auto error = self->createOptionalListeners(loops))
        return *error;
    auto probeListener = self->listen(settings.entry->ready_listen, { &self->m_controlLoop },
        [self](size_t, const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request) {
            self->respondToProbe(connection, request);
        });
    if (!probeListener)
        return probeListener.error();
    self->m_callerListener = std::move(callerListener).value();
    self->m_probeListener = std::move(probeListener).value();
    // No connection is taken before all addresses that the node needs are bound and all threads run: the start may
    // still fail until then.
    for (auto* loop : loops)
        loop->start();
    self->m_controlLoop.start();
    if (auto error = self->m_mesh->listen())
        return *error;
    const auto listeners = { self->m_probeListener.get(), self->m_callerListener.get() };
    for (auto* listener : listeners) {
        if (auto error = listener->listen())
            return *error;
    }
    // An exception in the start of one component must not leave the others unstarted: the node would never be ready.
    const auto startError = runOnLoop(self->m_controlLoop, "node.start", [self] {
        self->m_catalogWatcher.start();
        self->m_targetWatcher.start();
        self->m_controlWatcher->start();
        self->m_reachMonitor.start();
        self->m_mesh->start();
        self->m_origins->start(self->m_targetWatcher.storeWatcher(), self->m_controlWatcher->storeWatcher());
        self->m_dispatcher->start();
        if (self->m_metricsListener)
            self->m_metricsListener->start([] {});
        // Before the registration, so that a node whose port is free is registered with its relay address at once.
        if (self->m_relayListener) {
            self->m_relayListener->start(
                [self] { self->m_registrar.setRelayAddress(self->m_settings.entry->relay_listen); });
        }
        self->m_registrar.start();
    });
    if (startError)
        return *startError;
    for (auto* listener : listeners)
        listener->start();
    logNodeStarted(
        { { "node", settings.node->id }, { "listen", settings.entry->listen }, { "store", settings.control->store },
            { "memory_mb", std::to_string(settings.entry->memory_mb) } },
        start);
    return node;
}

EntryNode::EntryNode(const schema::SettingsT& settings, boost::asio::ip::tcp::endpoint store)
    : m_settings(settings)
    , m_state(settings)
    , m_store(m_controlLoop.context(), std::move(store), settings.control->store,
          { .buffers = &m_state.controlBuffers, .metrics = &m_state.metrics })
    , m_catalogWatcher(m_controlLoop.context(), m_store, m_state)
    , m_targetWatcher(m_controlLoop.context(), m_store, m_state)
    , m_elector(m_controlLoop.context(), m_store, settings.node->id,
          leaseSettings(*settings.control, settings.entry->cpu_share), std::random_device {}())
    , m_registrar(m_controlLoop.context(), m_store, settings.node->id, selfAsPeer(settings))
    , m_storeRelay(settings.node->id)
    , m_lostAnswerVerifier(m_controlLoop, m_state)
    , m_reachMonitor(m_controlLoop.context(), m_state, std::random_device {}())
{
    m_state.onLostAnswer = [this](LostAnswer answer) { m_lostAnswerVerifier.submit(std::move(answer)); };
    std::random_device randomDevice;
    for (int i = 0; i < settings.entry->loops; ++i)
        m_loops.push_back(std::make_unique<RequestLoop>(m_state, randomDevice()));
}

void EntryNode::reload(const schema::SettingsT& settings)
{
    configureLog(static_cast<LogSeverity>(settings.log->level));
    m_controlLoop.post([this, peerSeeds = seedsOf(settings)] { m_mesh->setSeeds(peerSeeds); });
}

std::optional<Error> EntryNode::createPeerMesh()
{
    auto mesh = PeerMesh::create(m_controlLoop.context(), m_state, selfAsPeer(m_settings), seedsOf(m_settings),
        { [this] {
             return Snapshot { m_catalogWatcher.text(), m_targetWatcher.entries(), m_state.areTargetsKnown,
                 m_state.versions.versions(monotonicNow()), m_state.versions.isComplete() };
         },
            [this](const Snapshot& snapshot) {
                if (!snapshot.catalog.empty())
                    m_catalogWatcher.apply(snapshot.catalog, "peer");
                if (snapshot.areTargetsKnown)
                    m_targetWatcher.apply(snapshot.targets);
                if (snapshot.areVersionsKnown)
                    m_origins->addKnownVersions(snapshot.versions);
            } },
        m_storeRelay);
    if (!mesh)
        return mesh.error();
    m_mesh = std::move(mesh).value();
    m_origins = std::make_unique<StreamOriginExchange>(m_controlLoop.context(), m_store, m_elector, *m_mesh, m_state);
    m_controlWatcher
        = std::make_unique<ControlWatcher>(m_controlLoop.context(), m_store, m_elector, *m_mesh, *m_origins);
    // Nodes of earlier builds watch all keys of the operator and know the catalog by their prefix.
    m_storeRelay.add(m_catalogWatcher.storeWatcher(), catalogPrefix());
    m_storeRelay.add(m_targetWatcher.storeWatcher(), targetPrefix());
    m_storeRelay.add(m_controlWatcher->storeWatcher(), ControlWatcher::prefix);
    m_storeRelay.setCollectingHandler([this](bool isCollecting) { m_registrar.setFrequent(isCollecting); });
    m_storeRelay.setContact([this] { return m_registrar.hasContact(monotonicNow()); });
    // A node that follows a collector learns of a free lease later than those that watch the store.
    m_elector.setEligibility([this] {
        const bool canOrder = !m_state.reach.isIsolated() || !m_state.relays.hasReachingPeer();
        return canOrder && m_storeRelay.isWatching() && !m_storeRelay.isFollower();
    });
    m_dispatcher = std::make_unique<OrderDispatcher>(m_controlLoop.context(), m_elector, *m_mesh, m_state);
    return std::nullopt;
}

EntryNode::~EntryNode()
{
    m_controlLoop.stop();
    for (const auto& loop : m_loops)
        loop->loop().stop();
}

void EntryNode::stop(std::optional<ProcessSignal> signal)
{
    const auto startedAt = monotonicNow();
    const auto gracePeriod = Duration(static_cast<int64_t>(m_settings.entry->grace_s * 1e6)) - exitMargin;
    logEvent(LogSeverity::Info, "node_stopping",
        { { "requests_in_progress", std::to_string(m_state.requestsInProgress.load()) },
            { "signal", std::string(signal ? nameOf(*signal) : "none") } });
    m_state.isStopping = true;
    m_controlLoop.post([this] {
        m_elector.stop();
        m_registrar.stop();
        if (m_relayListener)
            m_relayListener->stopTrying();
    });
    // Keep serving until the platform routes new connections to other nodes.
    std::this_thread::sleep_for(std::min(drainDelay, gracePeriod / 2));
    m_callerListener->drainConnections();
    m_controlLoop.post([this] {
        if (m_relayListener)
            m_relayListener->drainConnections();
    });
    std::this_thread::sleep_until(startedAt + std::min(refusalDelay, gracePeriod / 2));
    // Accept only requests that end within the grace period, and finally none.
    const auto end = startedAt + gracePeriod;
    m_state.latestRequestEnd = end;
    waitForRequests(end);
    m_state.latestRequestEnd = TimePoint::min();
    waitForRequests(end);
    const auto unfinished = m_state.requestsInProgress.load();
    for (const auto& loop : m_loops)
        loop->endRequests();
    for (const auto limit = monotonicNow() + finalAnswerTime; m_state.requestsInProgress > 0 && monotonicNow() < limit;)
        std::this_thread::sleep_for(shutdownPollInterval);
    logEvent(LogSeverity::Info, "node_stopped",
        { { "requests_unfinished", std::to_string(unfinished) },
            { "requests_cut", std::to_string(m_state.requestsInProgress.load()) },
            { "elapsed_ms", std::to_string(toMilliseconds(monotonicNow() - startedAt)) } });
}

Result<std::unique_ptr<ServerListener>> EntryNode::listen(
    const std::string& address, std::vector<EventLoop*> loops, ServerListener::RequestHandler handler)
{
    return ServerListener::create(
        address, std::move(loops), [this] { return connectionLimits(); }, std::move(handler));
}

std::optional<Error> EntryNode::createOptionalListeners(const std::vector<EventLoop*>& loops)
{
    const auto& relayAddress = m_settings.entry->relay_listen;
    const auto& metricsAddress = m_settings.entry->metrics_listen;
    for (const auto& address : { relayAddress, metricsAddress }) {
        if (const auto endpoint = parseEndpoint(address); !address.empty() && !endpoint)
            return endpoint.error();
    }
    if (!relayAddress.empty()) {
        m_relayListener = std::make_unique<OptionalListener>(m_controlLoop.context(), relayAddress, [this, loops] {
            return ServerListener::create(
                m_settings.entry->relay_listen, loops, [this] { return relayConnectionLimits(); },
                [this](size_t loop, const std::shared_ptr<ServerConnection>& connection, HttpRequest request) {
                    RequestExchange::serveRelayed(*m_loops[loop], connection, std::move(request));
                });
        });
    }
    if (!metricsAddress.empty()) {
        m_metricsListener = std::make_unique<OptionalListener>(m_controlLoop.context(), metricsAddress, [this] {
            return listen(m_settings.entry->metrics_listen, { &m_controlLoop },
                [this](size_t, const std::shared_ptr<ServerConnection>& connection, const HttpRequest&) {
                    respondToMetrics(connection);
                });
        });
    }
    return std::nullopt;
}

void EntryNode::respondToProbe(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request)
{
    constexpr uint32_t ok = 200;
    constexpr uint32_t notFound = 404;
    constexpr uint32_t unavailable = 503;
    if (!isReadinessProbe(request)) {
        connection->sendResponse({ notFound, {}, {} }, {});
        return;
    }
    const auto now = suspendAwareNow();
    const auto readiness = m_state.readiness(now);
    m_readinessMonitor.observe(readiness, now);
    connection->sendResponse({ readiness == Readiness::Ready ? ok : unavailable, {}, {} }, {});
}

void EntryNode::respondToMetrics(const std::shared_ptr<ServerConnection>& connection)
{
    constexpr uint32_t ok = 200;
    m_state.metrics.set(Metric::CallsInProgress, m_state.requestsInProgress.load());
    for (const auto& [team, level] : m_state.allotments.levels())
        m_state.metrics.set(Metric::AllotmentLevel, level, team);
    m_state.metrics.set(Metric::Targets, static_cast<double>(m_state.targets.records().size()));
    const auto current = m_state.catalog.current();
    m_state.metrics.set(Metric::PlanRevision, current ? static_cast<double>(current->catalog.version) : 0);
    setProcessMetrics(m_state.metrics);
    connection->sendResponse(
        { ok, {}, { { "Content-Type", "text/plain; version=0.0.4" } } }, m_state.metrics.prometheusText());
}

ServerConnectionLimits EntryNode::connectionLimits()
{
    ServerConnectionLimits limits;
    if (const auto current = m_state.catalog.current()) {
        const auto& catalogLimits = current->catalog.limits;
        limits.maxHeadBytes = catalogLimits.maxHeaderBytes;
        limits.maxBodyBytes = catalogLimits.maxBodyBytes;
        limits.headTimeout = catalogLimits.headerTimeout;
        limits.idleTimeout = catalogLimits.idleTimeout;
    }
    limits.buffers = &m_state.requestBuffers;
    return limits;
}

ServerConnectionLimits EntryNode::relayConnectionLimits()
{
    // The sender adds a field to a head that was within the limits.
    constexpr uint32_t maxRelayFieldBytes = 2048;
    auto limits = connectionLimits();
    limits.maxHeadBytes += maxRelayFieldBytes;
    return limits;
}

void EntryNode::waitForRequests(TimePoint deadline)
{
    // A connection accepted before the probe failed may still send its first request.
    constexpr Duration quietPeriod = milliseconds(300);
    auto lastBusyAt = monotonicNow();
    while (monotonicNow() < deadline && monotonicNow() - lastBusyAt < quietPeriod) {
        std::this_thread::sleep_for(shutdownPollInterval);
        if (m_state.requestsInProgress > 0)
            lastBusyAt = monotonicNow();
    }
}

} // namespace cyclamenstair

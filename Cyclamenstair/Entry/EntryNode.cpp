#include <Cyclamenstair/Entry/EntryNode.h>

#include <Cyclamenstair/Entry/RequestExchange.h>
#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <platform/RequestCodec.h>

#include <algorithm>
#include <sstream>

namespace cyclamenstair {

namespace {

    /// Time from the turn of the readiness probe until connections are closed after their answers: two probes, one each
    /// second, and a margin.
    constexpr Duration drainNotice = milliseconds(2500);
    /// Time from the begin of a stop until new requests are refused that might not end within the grace period. Callers
    /// still come: a zone with few ready nodes gets connections at all of its nodes.
    constexpr Duration refuseNotice = milliseconds(2900);
    /// Part of the grace period that is left for the end of the process.
    constexpr Duration endMargin = milliseconds(1000);
    /// Time between two looks at the requests in progress during a stop.
    constexpr Duration stopPollInterval = milliseconds(50);
    /// Margin over the targets' own bound between the orders of two nodes, for orders on their way.
    constexpr Duration orderGapMargin = milliseconds(300);
    /// Time to live of the order lease: short, so that a new holder is found soon, and at least what the store grants.
    constexpr Duration leaseTimeToLive = milliseconds(1200);
    constexpr double leaseValidityShare = 0.5;

    OrderLeaseSettings leaseSettings(const schema::ControlSettingsT& control)
    {
        OrderLeaseSettings settings;
        settings.timeToLive = std::max(leaseTimeToLive, milliseconds(control.min_lease_ms));
        settings.renewalValidity = std::chrono::duration_cast<Duration>(settings.timeToLive * leaseValidityShare);
        settings.takeoverDelay = std::max(orderGapMargin,
            milliseconds(control.order_gap_ms) - (settings.timeToLive - settings.renewalValidity) + orderGapMargin);
        return settings;
    }

} // namespace

Result<std::unique_ptr<EntryNode>> EntryNode::create(const schema::SettingsT& settings)
{
    const auto store = parseEndpoint(settings.control->store);
    if (!store)
        return store.error();
    std::unique_ptr<EntryNode> node(new EntryNode(settings, store.value()));
    if (auto error = node->joinPeers())
        return *error;
    std::vector<EventLoop*> loops;
    for (const auto& loop : node->m_loops)
        loops.push_back(&loop->loop());
    auto* const self = node.get();
    auto callers = self->listen(settings.entry->listen, loops,
        [self](size_t loop, const std::shared_ptr<ServerConnection>& from, HttpRequest request) {
            RequestExchange::begin(*self->m_loops[loop], from, std::move(request));
        });
    if (!callers)
        return callers.error();
    auto probes = self->listen(settings.entry->ready_listen, { &self->m_controlLoop },
        [self](size_t, const std::shared_ptr<ServerConnection>& from, const HttpRequest& request) {
            self->answerProbe(from, request);
        });
    if (!probes)
        return probes.error();
    self->m_callers = std::move(callers).value();
    self->m_probes = std::move(probes).value();
    if (!settings.entry->metrics_listen.empty()) {
        auto metrics = self->listen(settings.entry->metrics_listen, { &self->m_controlLoop },
            [self](size_t, const std::shared_ptr<ServerConnection>& from, const HttpRequest&) {
                self->answerMetrics(from);
            });
        if (!metrics)
            return metrics.error();
        self->m_metricsListener = std::move(metrics).value();
        self->m_metricsListener->start();
    }
    self->m_callers->start();
    self->m_probes->start();
    for (auto* loop : loops)
        loop->start();
    self->m_controlLoop.post([self] {
        self->m_catalog.start();
        self->m_targets.start();
        self->m_control->start();
        self->m_mesh->start();
        self->m_dispatcher->start();
        self->m_registrar.start();
    });
    self->m_controlLoop.start();
    logEvent(LogSeverity::Info, "node_started",
        { { "node", settings.node->id }, { "listen", settings.entry->listen }, { "store", settings.control->store } });
    return node;
}

EntryNode::EntryNode(const schema::SettingsT& settings, boost::asio::ip::tcp::endpoint store)
    : m_settings(settings)
    , m_state(settings)
    , m_store(m_controlLoop.context(), std::move(store), settings.control->store, {})
    , m_catalog(m_controlLoop.context(), m_store, m_state)
    , m_targets(m_controlLoop.context(), m_store, m_state)
    , m_holder(m_controlLoop.context(), m_store, settings.node->id, leaseSettings(*settings.control),
          std::random_device {}())
    , m_registrar(m_controlLoop.context(), m_store, settings.node->id, settings.entry->peer_listen)
{
    std::random_device seeds;
    for (int i = 0; i < settings.entry->loops; ++i)
        m_loops.push_back(std::make_unique<RequestLoop>(m_state, seeds()));
}

std::optional<Error> EntryNode::joinPeers()
{
    std::vector<std::string> seeds;
    std::istringstream list(m_settings.entry->seeds);
    for (std::string seed; std::getline(list, seed, ',');)
        seeds.push_back(seed);
    auto mesh = PeerMesh::create(m_controlLoop.context(), m_state, m_settings.entry->peer_listen, seeds,
        { [this] {
             return Snapshot { m_catalog.text(), m_targets.entries(), m_state.areTargetsKnown };
         },
            [this](const Snapshot& snapshot) {
                if (!snapshot.catalog.empty())
                    m_catalog.take(snapshot.catalog, "peer");
                if (snapshot.areTargetsKnown)
                    m_targets.take(snapshot.targets);
            } });
    if (!mesh)
        return mesh.error();
    m_mesh = std::move(mesh).value();
    m_control = std::make_unique<ControlFollower>(m_controlLoop.context(), m_store, m_holder, *m_mesh);
    m_dispatcher = std::make_unique<OrderDispatcher>(m_controlLoop.context(), m_holder, *m_mesh, m_state);
    return std::nullopt;
}

EntryNode::~EntryNode()
{
    m_controlLoop.stop();
    for (const auto& loop : m_loops)
        loop->loop().stop();
}

void EntryNode::stop()
{
    const auto begin = monotonicNow();
    const auto grace = Duration(static_cast<int64_t>(m_settings.entry->grace_s * 1e6)) - endMargin;
    logEvent(LogSeverity::Info, "node_stopping",
        { { "requests_in_progress", std::to_string(m_state.requestsInProgress.load()) } });
    m_state.isStopping = true;
    m_controlLoop.post([this] {
        m_holder.stop();
        m_registrar.stop();
    });
    // Serves as before until the platform sends new connections elsewhere.
    std::this_thread::sleep_for(std::min(drainNotice, grace / 2));
    m_callers->closeConnections();
    std::this_thread::sleep_until(begin + std::min(refuseNotice, grace / 2));
    // Begins only requests that end in time, and at last none.
    const auto end = begin + grace;
    m_state.workEndsBy = end;
    waitForRequests(end);
    m_state.workEndsBy = TimePoint::min();
    waitForRequests(end);
    logEvent(LogSeverity::Info, "node_stopped",
        { { "requests_cut", std::to_string(m_state.requestsInProgress.load()) },
            { "elapsed_ms", std::to_string(toMilliseconds(monotonicNow() - begin)) } });
}

Result<std::unique_ptr<ServerListener>> EntryNode::listen(
    const std::string& address, std::vector<EventLoop*> loops, ServerListener::RequestHandler handler)
{
    return ServerListener::create(
        address, std::move(loops), [this] { return callerLimits(); }, std::move(handler));
}

void EntryNode::answerProbe(const std::shared_ptr<ServerConnection>& from, const HttpRequest& request)
{
    constexpr uint32_t ok = 200;
    constexpr uint32_t notFound = 404;
    constexpr uint32_t unavailable = 503;
    const uint32_t status = !isReadinessProbe(request) ? notFound : m_state.isReady() ? ok : unavailable;
    from->answer({ status, {}, {} }, {});
}

void EntryNode::answerMetrics(const std::shared_ptr<ServerConnection>& from)
{
    constexpr uint32_t ok = 200;
    m_state.metrics.set(Metric::CallsInProgress, m_state.requestsInProgress.load());
    m_state.metrics.set(Metric::Targets, static_cast<double>(m_state.targets.records().size()));
    const auto current = m_state.catalog.current();
    m_state.metrics.set(Metric::PlanRevision, current ? static_cast<double>(current->catalog.version) : 0);
    from->answer({ ok, {}, { { "Content-Type", "text/plain; version=0.0.4" } } }, m_state.metrics.prometheusText());
}

ServerConnectionLimits EntryNode::callerLimits() const
{
    ServerConnectionLimits limits;
    if (const auto current = m_state.catalog.current()) {
        const auto& stated = current->catalog.limits;
        limits.maxHeadBytes = stated.maxHeaderBytes;
        limits.maxBodyBytes = stated.maxBodyBytes;
        limits.headTimeout = stated.headerTimeout;
        limits.idleTimeout = stated.idleTimeout;
    }
    return limits;
}

void EntryNode::waitForRequests(TimePoint until)
{
    // A connection that was accepted before the notice may still send its first request.
    constexpr Duration quiet = milliseconds(300);
    auto busyAt = monotonicNow();
    while (monotonicNow() < until && monotonicNow() - busyAt < quiet) {
        std::this_thread::sleep_for(stopPollInterval);
        if (m_state.requestsInProgress > 0)
            busyAt = monotonicNow();
    }
}

} // namespace cyclamenstair

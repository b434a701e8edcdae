#include <StandIns/SimulatedTarget.h>

#include <Cyclamenstair/Core/Hash.h>
#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Http/EventLoop.h>
#include <Cyclamenstair/Http/ServerConnection.h>
#include <StandIns/LoopbackPort.h>
#include <StandIns/SimulatedTargetCodec.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <future>

namespace cyclamenstair {

using boost::asio::ip::tcp;

namespace {

    constexpr uint32_t ok = 200;
    constexpr uint32_t badRequest = 400;
    constexpr uint32_t notFound = 404;
    constexpr uint32_t misdirected = 421;
    constexpr uint32_t internalError = 500;
    constexpr uint32_t unavailable = 503;
    constexpr uint32_t gatewayTimeout = 504;
    constexpr Duration restartDelay = milliseconds(1000);
    constexpr Duration orderDelay = milliseconds(2000);
    /// Until the address is bound or a connection is accepted again after a failure.
    constexpr Duration socketRetryDelay = milliseconds(50);
    constexpr int slowness = 4;

    std::string eventText(int64_t event) { return "id: " + std::to_string(event) + "\ndata: token\n\n"; }

    int64_t unixMs()
    {
        const auto time = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

} // namespace

std::string simulatedResponseBody(const std::string& targetId, const std::string& requestId, size_t meanBytes)
{
    auto body = targetId + ":" + requestId + ":";
    const size_t bytes = meanBytes / 2 + stableHash(requestId) % (meanBytes + 1);
    body.resize(std::max(body.size(), bytes), 'x');
    return body;
}

/// State of a target. Used on its loop, except for the constants.
class SimulatedTarget::Impl {
public:
    explicit Impl(SimulatedTargetSettings settings);
    ~Impl() { m_loop.stop(); }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    std::optional<Error> start();

    /// Runs a function on the loop and returns its result.
    template <typename Work> auto onLoop(Work work)
    {
        const auto task = std::make_shared<std::packaged_task<std::invoke_result_t<Work>()>>(std::move(work));
        auto result = task->get_future();
        m_loop.post([task] { (*task)(); });
        return result.get();
    }

    const SimulatedTargetSettings& settings() const { return m_settings; }
    const std::string& address() const { return m_address; }
    const std::string& id() const { return m_id; }
    std::optional<std::string> entry();
    void drain(std::optional<Duration> remaining);
    void crash();
    void restart(const std::string& id);
    void resetConnections(double share);
    void setFault(TargetFaultKind kind, double share) { m_faultShares[kind] = share; }
    const std::map<std::string, int>& runs() const { return m_runs; }
    const std::vector<AcceptedOrder>& orders() const { return m_orders; }
    size_t excessiveOrderCount() const { return m_excessiveOrderCount; }
    size_t maxOpenConnections() const { return m_maxOpenConnections; }

private:
    struct Peer {
        std::weak_ptr<ServerConnection> connection;
        int descriptor { -1 }; ///< Valid while the connection is open.
    };
    /// Request whose response is not complete.
    struct Call {
        std::shared_ptr<ServerConnection> connection;
        std::string id;
        bool isHeadSent { false };
        std::optional<TargetFaultKind> fault;
        int64_t eventsBeforeFault { 0 };
    };
    struct DelayedOrder {
        SimulatedOrder order;
        std::string expectedInstance;
        TimePoint arrivedAt;
    };

    std::optional<Error> listen();
    void accept();
    void addConnection(tcp::socket socket);
    std::vector<Peer> openPeers() const;
    static void reset(const Peer& peer);
    /// Resets the connection once its output has been written.
    void resetAfterOutput(const std::shared_ptr<ServerConnection>& connection);

    void handle(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request);
    void handleHealth(ServerConnection& connection);
    void handleOrder(ServerConnection& connection, const HttpRequest& request);
    /// Carries out an order and returns the status of its response, or no value if the target crashed.
    std::optional<uint32_t> execute(const SimulatedOrder& order, TimePoint arrivedAt);
    void handleWork(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request);
    /// Returns the status that rejects a request of a model, or no value if the model can serve it.
    std::optional<uint32_t> rejection(SimulatedRequest& request) const;
    void reject(ServerConnection& connection, uint32_t status, const std::string& requestId) const;
    HttpResponseHead receiptHead(uint32_t status, const std::string& requestId) const;
    std::optional<TargetFaultKind> drawRequestFault();
    bool drawFault(TargetFaultKind kind);

    /// Does what is due and arms the timer.
    void advance();
    void armTimer();
    void apply(const SimulatedStep& step);
    void sendEvent(Call& call, int64_t event);
    void complete(Call& call);
    void sendBody(Call& call);
    SimulatedTargetState state() const;
    SimulatedModels::UsePredicate usePredicate() const;
    bool isEngine() const { return m_models.has_value(); }

    const SimulatedTargetSettings m_settings;
    const std::string m_address;
    EventLoop m_loop;
    tcp::acceptor m_acceptor { m_loop.context() };
    boost::asio::steady_timer m_acceptTimer { m_loop.context() };
    boost::asio::steady_timer m_timer { m_loop.context() };
    std::string m_id;
    Random m_random;
    std::optional<SimulatedModels> m_models; ///< Of an engine.
    SimulatedBatch m_batch;
    std::map<uint64_t, Call> m_calls; ///< By the number of the request in the batch.
    uint64_t m_lastCall { 0 };
    std::vector<Peer> m_peers;
    std::vector<DelayedOrder> m_delayedOrders; ///< In the order of their arrival.
    std::map<TargetFaultKind, double> m_faultShares;
    bool m_isDown { false };
    std::optional<TimePoint> m_restartAt; ///< After a crash of its own.
    bool m_isDraining { false };
    std::optional<TimePoint> m_leavesAt;
    int64_t m_startedUnixMs { unixMs() };
    int64_t m_entryCount { 0 }; ///< Since the start.
    std::map<std::string, int> m_runs;
    std::vector<AcceptedOrder> m_orders;
    size_t m_excessiveOrderCount { 0 };
    size_t m_maxOpenConnections { 0 };
};

SimulatedTarget::Impl::Impl(SimulatedTargetSettings settings)
    : m_settings(std::move(settings))
    , m_address(allocateLoopbackAddress())
    , m_id(m_settings.id)
    , m_random(m_settings.seed)
    , m_batch(m_settings, m_random())
{
    if (const auto* engine = std::get_if<EngineWorkload>(&m_settings.workload))
        m_models.emplace(*engine);
}

std::optional<Error> SimulatedTarget::Impl::start()
{
    if (auto error = listen())
        return error;
    m_loop.start();
    return std::nullopt;
}

std::optional<Error> SimulatedTarget::Impl::listen()
{
    const auto endpoint = parseEndpoint(m_address).value();
    boost::system::error_code ec;
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec) {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        return Error { ErrorKind::Unavailable, "target.listen", m_address, ec.message() };
    }
    accept();
    return std::nullopt;
}

void SimulatedTarget::Impl::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
        // A closed acceptor may be open again by now, with a handler of its own.
        if (ec == boost::asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!ec) {
            accept();
            addConnection(std::move(socket));
            return;
        }
        m_acceptTimer.expires_after(socketRetryDelay);
        m_acceptTimer.async_wait([this](const boost::system::error_code& timerError) {
            if (!timerError && m_acceptor.is_open())
                accept();
        });
    });
}

void SimulatedTarget::Impl::addConnection(tcp::socket socket)
{
    m_peers = openPeers();
    if (m_peers.size() >= m_settings.maxConnections) {
        boost::system::error_code ignored;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        return;
    }
    const int descriptor = socket.native_handle();
    const auto connection = std::make_shared<ServerConnection>(std::move(socket), ServerConnectionLimits {},
        [this](
            const std::shared_ptr<ServerConnection>& sender, const HttpRequest& request) { handle(sender, request); });
    m_peers.push_back({ connection, descriptor });
    m_maxOpenConnections = std::max(m_maxOpenConnections, m_peers.size());
    connection->start();
}

std::vector<SimulatedTarget::Impl::Peer> SimulatedTarget::Impl::openPeers() const
{
    std::vector<Peer> open;
    std::ranges::copy_if(m_peers, std::back_inserter(open), [](const Peer& peer) {
        const auto connection = peer.connection.lock();
        return connection && connection->isOpen();
    });
    return open;
}

void SimulatedTarget::Impl::reset(const Peer& peer)
{
    const auto connection = peer.connection.lock();
    if (!connection || !connection->isOpen())
        return;
    const linger immediately { 1, 0 };
    ::setsockopt(peer.descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    connection->abort();
}

void SimulatedTarget::Impl::resetAfterOutput(const std::shared_ptr<ServerConnection>& connection)
{
    const auto peer
        = std::ranges::find_if(m_peers, [&](const Peer& other) { return other.connection.lock() == connection; });
    if (peer == m_peers.end())
        return;
    if (connection->hasQueuedOutput())
        connection->setWritableHandler([copy = *peer] { reset(copy); });
    else
        reset(*peer);
}

std::optional<std::string> SimulatedTarget::Impl::entry()
{
    if (m_isDown)
        return std::nullopt;
    return encodeSimulatedEntry(m_settings, state(), ++m_entryCount);
}

void SimulatedTarget::Impl::drain(std::optional<Duration> remaining)
{
    m_isDraining = true;
    m_leavesAt = remaining ? std::optional(monotonicNow() + *remaining) : std::nullopt;
}

void SimulatedTarget::Impl::crash()
{
    m_isDown = true;
    m_restartAt.reset();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
    m_calls.clear();
    m_batch.clear();
    m_delayedOrders.clear();
    if (m_models)
        m_models->restart();
    for (const auto& peer : std::exchange(m_peers, {}))
        reset(peer);
    armTimer();
}

void SimulatedTarget::Impl::restart(const std::string& id)
{
    if (!m_isDown)
        crash();
    m_restartAt.reset();
    m_id = id;
    if (listen()) {
        m_restartAt = monotonicNow() + socketRetryDelay;
        armTimer();
        return;
    }
    m_isDown = false;
    m_isDraining = false;
    m_leavesAt.reset();
    m_startedUnixMs = std::max(unixMs(), m_startedUnixMs + 1);
    m_entryCount = 0;
    armTimer();
}

void SimulatedTarget::Impl::resetConnections(double share)
{
    for (const auto& peer : openPeers()) {
        if (randomUnit(m_random) >= share)
            continue;
        const auto connection = peer.connection.lock();
        std::erase_if(m_calls, [&](const auto& item) {
            const auto& [number, call] = item;
            if (call.connection != connection)
                return false;
            m_batch.remove(number);
            return true;
        });
        reset(peer);
    }
    advance();
}

void SimulatedTarget::Impl::handle(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    if (m_isDraining)
        connection->closeAfterResponse();
    if (path == "/health") {
        handleHealth(*connection);
        return;
    }
    if (path == "/cyclamenstair/report") {
        connection->sendResponse(
            { ok, {}, { { "Content-Type", "application/json" } } }, encodeSimulatedReport(state(), m_batch));
        return;
    }
    const auto expectedInstance = fieldValue(request.fields, "Cyclamenstair-Expect-Instance").value_or("");
    if (!expectedInstance.empty() && expectedInstance != m_id) {
        reject(*connection, misdirected, fieldValue(request.fields, "Cyclamenstair-Request-Id").value_or(""));
        return;
    }
    if (path == "/cyclamenstair/order")
        handleOrder(*connection, request);
    else if (path.starts_with("/cyclamenstair/"))
        connection->sendResponse({ notFound, {}, {} }, {});
    else
        handleWork(connection, request);
}

void SimulatedTarget::Impl::handleHealth(ServerConnection& connection)
{
    connection.sendResponse({ m_isDraining ? unavailable : ok, {}, { { "Cyclamenstair-Instance-Id", m_id } } }, {});
}

void SimulatedTarget::Impl::handleOrder(ServerConnection& connection, const HttpRequest& request)
{
    const auto order = decodeSimulatedOrder(request.body);
    if (!order || !isEngine()) {
        connection.sendResponse({ badRequest, {}, {} }, {});
        return;
    }
    const auto now = monotonicNow();
    if (drawFault(TargetFaultKind::DelayOrders)) {
        m_delayedOrders.push_back(
            { *order, fieldValue(request.fields, "Cyclamenstair-Expect-Instance").value_or(""), now });
        armTimer();
        return;
    }
    if (const auto status = execute(*order, now))
        connection.sendResponse({ *status, {}, {} }, {});
}

std::optional<uint32_t> SimulatedTarget::Impl::execute(const SimulatedOrder& order, TimePoint arrivedAt)
{
    const auto now = monotonicNow();
    m_models->advance(now, usePredicate());
    const auto acceptedBefore = m_models->acceptedCount();
    const auto outcome = m_models->order(order, now, usePredicate());
    if (outcome == SimulatedOrderOutcome::Crash) {
        ++m_excessiveOrderCount;
        crash();
        m_restartAt = now + restartDelay;
        armTimer();
        return std::nullopt;
    }
    if (m_models->acceptedCount() != acceptedBefore) {
        const auto position = std::ranges::upper_bound(m_orders, arrivedAt, {}, &AcceptedOrder::arrivedAt);
        m_orders.insert(position, { order.holder, order.fencingToken, arrivedAt });
    }
    if (m_models->availability(order.model, order.adapter) != SimulatedAvailability::Loaded) {
        for (const auto number : m_batch.removeWaiting(order.model, order.adapter)) {
            const auto call = m_calls.extract(number);
            reject(*call.mapped().connection, unavailable, call.mapped().id);
        }
    }
    advance();
    return statusOf(outcome);
}

void SimulatedTarget::Impl::handleWork(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request)
{
    const auto now = monotonicNow();
    auto work = decodeSimulatedRequest(request, now);
    if (const auto status = rejection(work)) {
        reject(*connection, *status, work.id);
        return;
    }
    if (drawFault(TargetFaultKind::SlowDown))
        work.slowness = slowness;
    Call call { connection, work.id, false, drawRequestFault(), static_cast<int64_t>(randomIndex(m_random, 3)) };
    const auto number = ++m_lastCall;
    if (!m_batch.add(number, std::move(work), now)) {
        reject(*connection, unavailable, call.id);
        return;
    }
    connection->setDisconnectHandler([this, number] {
        m_batch.remove(number);
        m_calls.erase(number);
        advance();
    });
    m_calls.emplace(number, std::move(call));
    advance();
}

std::optional<uint32_t> SimulatedTarget::Impl::rejection(SimulatedRequest& request) const
{
    if (request.id.empty())
        return badRequest;
    if (!m_models)
        return std::nullopt;
    const auto* const model = m_models->find(request.model);
    if (!model)
        return misdirected;
    request.stepFactor = model->stepFactor;
    switch (m_models->availability(request.model, request.adapter)) {
    case SimulatedAvailability::Changing:
        return unavailable;
    case SimulatedAvailability::Missing:
        return misdirected;
    case SimulatedAvailability::Loaded:
        break;
    }
    return std::nullopt;
}

void SimulatedTarget::Impl::reject(ServerConnection& connection, uint32_t status, const std::string& requestId) const
{
    connection.sendResponse({ status, {},
                                { { "Cyclamenstair-Request-Id", requestId }, { "Cyclamenstair-Not-Run", "1" },
                                    { "Cyclamenstair-Instance-Id", m_id } } },
        {});
}

HttpResponseHead SimulatedTarget::Impl::receiptHead(uint32_t status, const std::string& requestId) const
{
    return { status, {},
        { { "Cyclamenstair-Request-Id", requestId }, { "Cyclamenstair-Response-Stamp", "receipt-" + m_id } } };
}

std::optional<TargetFaultKind> SimulatedTarget::Impl::drawRequestFault()
{
    for (const auto kind : { TargetFaultKind::FailRequests, TargetFaultKind::LoseAnswers, TargetFaultKind::ResetAnswers,
             TargetFaultKind::GarbleAnswers }) {
        if (drawFault(kind))
            return kind;
    }
    const auto* const service = std::get_if<ServiceWorkload>(&m_settings.workload);
    if (service && randomUnit(m_random) < service->errorShare)
        return TargetFaultKind::FailRequests;
    return std::nullopt;
}

bool SimulatedTarget::Impl::drawFault(TargetFaultKind kind)
{
    const auto share = m_faultShares.find(kind);
    return share != m_faultShares.end() && randomUnit(m_random) < share->second;
}

void SimulatedTarget::Impl::advance()
{
    const auto now = monotonicNow();
    const auto isCongested = [this](uint64_t number) { return m_calls.at(number).connection->isCongested(); };
    for (const auto& step : m_batch.advance(now, isCongested))
        apply(step);
    if (m_models)
        m_models->advance(now, usePredicate());
    armTimer();
}

void SimulatedTarget::Impl::armTimer()
{
    std::optional<TimePoint> next = m_restartAt;
    const auto include = [&](std::optional<TimePoint> time) {
        if (time)
            next = std::min(next.value_or(*time), *time);
    };
    include(m_batch.nextTime());
    if (m_models)
        include(m_models->nextLoadEnd());
    if (!m_delayedOrders.empty())
        include(m_delayedOrders.front().arrivedAt + orderDelay);
    if (!next) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(*next);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (ec)
            return;
        if (m_restartAt && *m_restartAt <= monotonicNow()) {
            restart(m_id);
            return;
        }
        if (!m_delayedOrders.empty() && m_delayedOrders.front().arrivedAt + orderDelay <= monotonicNow()) {
            const auto delayed = std::move(m_delayedOrders.front());
            m_delayedOrders.erase(m_delayedOrders.begin());
            if (delayed.expectedInstance.empty() || delayed.expectedInstance == m_id)
                (void)execute(delayed.order, delayed.arrivedAt);
        }
        advance();
    });
}

void SimulatedTarget::Impl::apply(const SimulatedStep& step)
{
    const auto found = m_calls.find(step.request);
    if (found == m_calls.end())
        return;
    auto& call = found->second;
    switch (step.kind) {
    case SimulatedStepKind::Begun:
        ++m_runs[call.id];
        return;
    case SimulatedStepKind::Event:
        sendEvent(call, step.event);
        return;
    case SimulatedStepKind::Completed:
        complete(call);
        break;
    case SimulatedStepKind::ExpiredUnrun:
        reject(*call.connection, unavailable, call.id);
        break;
    case SimulatedStepKind::Expired:
        if (call.isHeadSent)
            call.connection->abort();
        else
            call.connection->sendResponse(receiptHead(gatewayTimeout, call.id), {});
        break;
    }
    m_calls.erase(step.request);
}

void SimulatedTarget::Impl::sendEvent(Call& call, int64_t event)
{
    if (!call.isHeadSent) {
        call.isHeadSent = true;
        auto head = receiptHead(ok, call.id);
        head.fields.emplace_back("Content-Type", "text/event-stream");
        call.connection->sendHead(head, std::nullopt);
    }
    call.connection->sendData(eventText(event));
}

void SimulatedTarget::Impl::complete(Call& call)
{
    if (!isEngine()) {
        sendBody(call);
        return;
    }
    if (!call.isHeadSent) {
        auto head = receiptHead(ok, call.id);
        head.fields.emplace_back("Content-Type", "text/event-stream");
        call.connection->sendHead(head, std::nullopt);
    }
    call.connection->finish();
}

void SimulatedTarget::Impl::sendBody(Call& call)
{
    const auto meanBytes = std::get<ServiceWorkload>(m_settings.workload).meanResponseBytes;
    if (call.fault == TargetFaultKind::FailRequests) {
        call.connection->sendResponse(receiptHead(internalError, call.id), {});
        return;
    }
    call.connection->sendResponse(receiptHead(ok, call.id), simulatedResponseBody(m_id, call.id, meanBytes));
}

SimulatedTargetState SimulatedTarget::Impl::state() const
{
    SimulatedTargetState state { m_address, m_isDraining, std::nullopt, m_startedUnixMs,
        m_models ? &*m_models : nullptr };
    if (m_leavesAt)
        state.remainingTime = *m_leavesAt - monotonicNow();
    return state;
}

SimulatedModels::UsePredicate SimulatedTarget::Impl::usePredicate() const
{
    return [this](const std::string& model, const std::string& adapter) { return m_batch.isInUse(model, adapter); };
}

Result<std::unique_ptr<SimulatedTarget>> SimulatedTarget::create(SimulatedTargetSettings settings)
{
    auto impl = std::make_unique<Impl>(std::move(settings));
    if (auto error = impl->start())
        return *error;
    return std::unique_ptr<SimulatedTarget>(new SimulatedTarget(std::move(impl)));
}

SimulatedTarget::SimulatedTarget(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

SimulatedTarget::~SimulatedTarget() = default;

std::string SimulatedTarget::id() const
{
    return m_impl->onLoop([this] { return m_impl->id(); });
}

const std::string& SimulatedTarget::service() const { return m_impl->settings().service; }

const std::string& SimulatedTarget::address() const { return m_impl->address(); }

std::optional<std::string> SimulatedTarget::entry() const
{
    return m_impl->onLoop([this] { return m_impl->entry(); });
}

void SimulatedTarget::drain(std::optional<Duration> remaining)
{
    m_impl->onLoop([&] { m_impl->drain(remaining); });
}

void SimulatedTarget::crash()
{
    m_impl->onLoop([this] { m_impl->crash(); });
}

void SimulatedTarget::restart(const std::string& id)
{
    m_impl->onLoop([&] { m_impl->restart(id); });
}

void SimulatedTarget::resetConnections(double share)
{
    m_impl->onLoop([&] { m_impl->resetConnections(share); });
}

void SimulatedTarget::setFault(TargetFaultKind kind, double share)
{
    m_impl->onLoop([&] { m_impl->setFault(kind, share); });
}

std::map<std::string, int> SimulatedTarget::runs() const
{
    return m_impl->onLoop([this] { return m_impl->runs(); });
}

std::vector<AcceptedOrder> SimulatedTarget::orders() const
{
    return m_impl->onLoop([this] { return m_impl->orders(); });
}

size_t SimulatedTarget::excessiveOrderCount() const
{
    return m_impl->onLoop([this] { return m_impl->excessiveOrderCount(); });
}

size_t SimulatedTarget::maxOpenConnections() const
{
    return m_impl->onLoop([this] { return m_impl->maxOpenConnections(); });
}

} // namespace cyclamenstair

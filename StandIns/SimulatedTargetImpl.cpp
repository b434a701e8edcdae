#include <StandIns/SimulatedTargetImpl.h>

#include <Cyclamenstair/Core/Overloaded.h>
#include <StandIns/LoopbackPort.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    constexpr uint32_t ok = 200;
    constexpr uint32_t badRequest = 400;
    constexpr uint32_t notFound = 404;
    constexpr uint32_t misdirected = 421;
    constexpr uint32_t unavailable = 503;
    constexpr Duration restartDelay = milliseconds(1000);
    constexpr Duration orderDelay = milliseconds(2000);
    /// Until the address is bound again after a failure.
    constexpr Duration listenRetryDelay = milliseconds(50);
    constexpr int slowness = 4;
    /// Events that a faulty stream has before its fault, at most.
    constexpr size_t maxEventsBeforeFault = 3;

    int64_t unixMs()
    {
        const auto time = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

} // namespace

SimulatedTarget::Impl::Impl(SimulatedTargetSettings settings)
    : m_settings(std::move(settings))
    , m_connections(m_loop.context(), allocateLoopbackAddress(), m_settings.maxConnections,
          [this](const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request) {
              handle(connection, request);
          })
    , m_id(m_settings.id)
    , m_random(m_settings.seed)
    , m_batch(m_settings, m_random())
    , m_startedUnixMs(unixMs())
{
    if (const auto* engine = std::get_if<EngineWorkload>(&m_settings.workload))
        m_models.emplace(*engine);
}

std::optional<Error> SimulatedTarget::Impl::start()
{
    if (auto error = m_connections.listen())
        return error;
    m_loop.start();
    return std::nullopt;
}

std::optional<std::string> SimulatedTarget::Impl::entry()
{
    if (m_isDown)
        return std::nullopt;
    const auto entryOf = [this] { return encodeSimulatedEntry(m_settings, state(), m_entryCount); };
    if (entryOf() != m_lastEntry) {
        ++m_entryCount;
        m_lastEntry = entryOf();
    }
    return m_lastEntry;
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
    m_connections.close();
    m_responses.clear();
    m_batch.clear();
    m_delayedOrders.clear();
    if (m_models)
        m_models->restart();
    armTimer();
}

void SimulatedTarget::Impl::restart(const std::string& id)
{
    if (!m_isDown)
        crash();
    m_restartAt.reset();
    m_id = id;
    if (m_connections.listen()) {
        m_restartAt = monotonicNow() + listenRetryDelay;
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
    for (const auto& connection : m_connections.open()) {
        if (randomUnit(m_random) >= share)
            continue;
        std::erase_if(m_responses, [&](const auto& item) {
            const auto& [number, response] = item;
            const bool isRemoved = response.connection() == connection;
            if (isRemoved)
                m_batch.remove(number);
            return isRemoved;
        });
        m_connections.reset(connection);
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
        SimulatedResponse::reject(
            *connection, misdirected, m_id, fieldValue(request.fields, "Cyclamenstair-Request-Id").value_or(""));
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
    if (!order || !m_models) {
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
            m_responses.at(number).reject(unavailable);
            m_responses.erase(number);
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
        SimulatedResponse::reject(*connection, *status, m_id, work.id);
        return;
    }
    if (drawFault(TargetFaultKind::SlowDown))
        work.slowness = slowness;
    SimulatedResponse response(
        m_connections, connection, m_id, work.id, drawRequestFault(), randomIndex(m_random, maxEventsBeforeFault + 1));
    const auto number = ++m_lastNumber;
    if (!m_batch.add(number, std::move(work), now)) {
        response.reject(unavailable);
        return;
    }
    connection->setDisconnectHandler([this, number] {
        m_batch.remove(number);
        m_responses.erase(number);
        advance();
    });
    m_responses.emplace(number, std::move(response));
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
    const auto isCongested = [this](uint64_t number) { return m_responses.at(number).connection()->isCongested(); };
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
    const auto found = m_responses.find(step.request);
    // A fault may have ended the response before the request is complete.
    if (found == m_responses.end())
        return;
    auto& response = found->second;
    bool isDone = true;
    switch (step.kind) {
    case SimulatedStepKind::Begun:
        ++m_runs[response.requestId()];
        isDone = false;
        break;
    case SimulatedStepKind::Event:
        isDone = !response.sendEvent(step.event);
        break;
    case SimulatedStepKind::Completed:
        std::visit(Overloaded {
                       [&](const ServiceWorkload& service) { response.sendBody(service.meanResponseBytes); },
                       [&](const EngineWorkload&) { response.completeStream(); },
                   },
            m_settings.workload);
        break;
    case SimulatedStepKind::ExpiredUnrun:
        response.reject(unavailable);
        break;
    case SimulatedStepKind::Expired:
        response.expire();
        break;
    }
    if (isDone) {
        m_batch.remove(step.request);
        m_responses.erase(found);
    }
}

SimulatedTargetState SimulatedTarget::Impl::state() const
{
    SimulatedTargetState state { m_connections.address(), m_isDraining, std::nullopt, m_startedUnixMs,
        m_models ? &*m_models : nullptr };
    if (m_leavesAt)
        state.remainingTime = *m_leavesAt - monotonicNow();
    return state;
}

SimulatedModels::UsePredicate SimulatedTarget::Impl::usePredicate() const
{
    return [this](const std::string& model, const std::string& adapter) { return m_batch.isInUse(model, adapter); };
}

} // namespace cyclamenstair

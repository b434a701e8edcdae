#include <Cyclamenstair/Entry/RequestExchange.h>

#include <Cyclamenstair/Codec/RelayCodec.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Http/Endpoint.h>

#include <platform/RequestCodec.h>

#include <boost/asio/post.hpp>

#include <algorithm>

namespace cyclamenstair {

namespace {

    constexpr uint32_t firstErrorStatus = 400;

    Duration findModelLoadTime(
        const ServiceCatalog& catalog, const std::string& serviceName, const std::string& modelName)
    {
        const auto service = catalog.services.find(serviceName);
        if (service == catalog.services.end() || !service->second.engine)
            return {};
        const auto& models = service->second.engine->models;
        const auto model
            = std::find_if(models.begin(), models.end(), [&](const auto& row) { return row.name == modelName; });
        return model == models.end() ? Duration(0) : model->loadTime;
    }

    /// Outcome of the check of a caller's key.
    struct Identification {
        const Team* team { nullptr }; ///< Null for a caller without a valid key.
        std::string_view problem; ///< Set if the route requires a key and the caller presents no valid one.
    };

    Identification identify(const CallerRequest& decoded, const ActiveCatalog& catalog, const Route& route)
    {
        const bool isReadable = decoded.key && !decoded.key->isMalformed;
        const auto* team = isReadable ? catalog.teams.findByKey(decoded.key->key) : nullptr;
        if (team || route.isPublic)
            return { team, {} };
        return { nullptr, !decoded.key ? "key_missing" : !isReadable ? "key_malformed" : "key_unknown" };
    }

    void answerNotRun(RequestLoop& loop, ServerConnection& connection, const CallerRequest& decoded, const Route& route,
        const SendLocalResponse& answer)
    {
        logRequestEvent(decoded.id, "answered_by_node",
            { { "route", route.name }, { "outcome", std::string(nameOf(answer.kind)) }, { "reason", answer.reason } });
        loop.state().metrics.add(Metric::Refusals, answer.reason);
        connection.sendResponse(encodeNodeResponse(answer, decoded.id), {});
    }

    /// Sets the team's priority and charges its allotment. Returns the time to wait if the allotment is used.
    std::optional<Duration> chargeTeam(
        RequestLoop& loop, const Team& team, const CallerRequest& decoded, RequestInfo& requestInfo)
    {
        requestInfo.teamPriority = team.priority;
        if (!team.allotment.isLimited())
            return std::nullopt;
        requestInfo.allotmentCost = team.allotment.cost(decoded.totalTokens);
        const auto wait = loop.state().allotments.consumeOrGetDelay(
            team.name, requestInfo.allotmentCost, suspendAwareNow(), loop.random());
        if (wait)
            loop.state().metrics.add(Metric::TeamRefusals, team.name);
        else
            loop.state().metrics.add(Metric::TeamUnits, team.name, static_cast<uint64_t>(requestInfo.allotmentCost));
        return wait;
    }

} // namespace

RequestInfo RequestExchange::createRequestInfo(
    const CallerRequest& decoded, const ServiceCatalog& catalog, const Route& route, Random& random, TimePoint now)
{
    RequestInfo requestInfo;
    requestInfo.id = decoded.id;
    requestInfo.route = route;
    requestInfo.service = selectService(route, randomUnit(random));
    requestInfo.model = decoded.model;
    requestInfo.adapter = decoded.adapter;
    requestInfo.modelLoadTime = findModelLoadTime(catalog, requestInfo.service, requestInfo.model);
    requestInfo.promptTokens = decoded.promptTokens;
    requestInfo.promptParts = decoded.promptParts;
    if (route.retryPolicy == RetryPolicy::Stream)
        requestInfo.resumedRequest = decoded.resumedRequest;
    requestInfo.receivedAt = now;
    requestInfo.callerTimeout = decoded.timeout;
    return requestInfo;
}

void RequestExchange::serve(RequestLoop& loop, const std::shared_ptr<ServerConnection>& connection, HttpRequest request)
{
    // Only nodes set it.
    eraseField(request.fields, relayRequestField);
    const auto decoded = decodeCallerRequest(request);
    const auto current = loop.state().catalog.current();
    const Route* route = current ? current->routes.find(decoded.host, decoded.path) : nullptr;
    if (!route) {
        logEvent(LogSeverity::Info, "request_without_route",
            { { "request", decoded.id }, { "host", decoded.host }, { "path", decoded.path },
                { "catalog", current ? std::to_string(current->catalog.version) : "none" } });
        connection->sendResponse(encodeNoRouteResponse(current != nullptr, decoded.id), {});
        return;
    }
    auto requestInfo = createRequestInfo(decoded, current->catalog, *route, loop.random(), monotonicNow());
    Identification identification;
    if (current->teams.isEnabled()) {
        identification = identify(decoded, *current, *route);
        if (!identification.problem.empty()) {
            logRequestEvent(decoded.id, "caller_unauthorized",
                { { "route", route->name }, { "reason", std::string(identification.problem) },
                    { "catalog", std::to_string(current->catalog.version) } });
            loop.state().metrics.add(Metric::Refusals, std::string(identification.problem));
            connection->sendResponse(encodeUnauthorizedResponse(decoded.id), {});
            return;
        }
        requestInfo.team = identification.team ? identification.team->name : std::string();
    }
    if (!loop.state().canFinishBefore(requestInfo.deadline())) {
        // Retry after 0 s: other nodes can serve the request immediately.
        answerNotRun(loop, *connection, decoded, *route, { LocalResponseKind::NotRun, "stopping", Duration(0) });
        return;
    }
    if (identification.team) {
        if (const auto wait = chargeTeam(loop, *identification.team, decoded, requestInfo)) {
            answerNotRun(
                loop, *connection, decoded, *route, { LocalResponseKind::OverAllotment, "over_allotment", wait });
            return;
        }
    }
    std::make_shared<RequestExchange>(loop, connection, std::move(request), std::move(requestInfo))->start();
}

RequestExchange::RequestExchange(
    RequestLoop& loop, std::shared_ptr<ServerConnection> connection, HttpRequest request, RequestInfo requestInfo)
    : m_loop(&loop)
    , m_callerConnection(std::move(connection))
    , m_request(std::move(request))
    , m_answerShare(&loop.state().requestBuffers)
    , m_machine(std::move(requestInfo), loop.state().flowSettings,
          { &loop.state().targets, &loop.state().retries, &loop.state().demand, &loop.random(),
              &loop.state().quarantine, &loop.state().versions, &loop.state().origins, &loop.state().reach,
              &loop.state().relays })
    , m_timer(loop.loop().context())
{
    ++loop.state().requestsInProgress;
    if (m_machine.requestInfo().isRelayed)
        ++loop.state().relayedRequests;
    loop.add(*this);
}

RequestExchange::~RequestExchange()
{
    m_loop->remove(*this);
    --m_loop->state().requestsInProgress;
    if (m_machine.requestInfo().isRelayed)
        --m_loop->state().relayedRequests;
}

void RequestExchange::start()
{
    if (const auto& resumed = m_machine.requestInfo().resumedRequest) {
        m_loop->state().versions.setSuspendedTime(suspendAwareNow() - monotonicNow());
        log("stream_resumed_by_caller",
            { { "resumes", *resumed }, { "version", m_loop->state().origins.find(*resumed).value_or("") } });
    }
    m_callerConnection->setDisconnectHandler([self = shared_from_this()] { self->handle(CallerDisconnected {}); });
    perform(m_machine.start(monotonicNow()));
}

void RequestExchange::handle(const RequestEvent& event)
{
    if (std::holds_alternative<CallerDisconnected>(event))
        log("caller_left", { { "elapsed_ms", elapsedText() } });
    if (m_machine.requestInfo().resumedRequest)
        m_loop->state().versions.setSuspendedTime(suspendAwareNow() - monotonicNow());
    perform(m_machine.handle(event, monotonicNow()));
}

void RequestExchange::perform(const std::vector<RequestAction>& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& alternative) { perform(alternative); }, action);
    if (m_machine.isFinished()) {
        boost::system::error_code ec;
        m_timer.cancel(ec);
        m_callerConnection->setDisconnectHandler(nullptr);
    } else {
        armTimer();
    }
}

void RequestExchange::perform(const StartAttempt& action)
{
    m_lastTarget = action.target;
    log("attempt_started",
        { { "route", m_machine.requestInfo().route.name }, { "artifact", artifactText() },
            { "attempt", std::to_string(action.attempt) }, { "target", action.target.id },
            { "address", action.target.address }, { "software_version", action.target.softwareVersion },
            { "prompt_parts", promptPartsText() },
            { "time_left_ms", std::to_string(toMilliseconds(action.remainingTime)) },
            { "resume_after", action.resumeAfter.value_or("") } });
    if (action.attempt > 1)
        m_loop->state().metrics.add(Metric::ExtraAttempts, action.resumeAfter ? "resume" : "repeat");
    const auto endpoint = parseEndpoint(action.target.address);
    if (!endpoint) {
        logError(LogSeverity::Warning, "target_address_malformed", endpoint.error());
        failUnsent(action.attempt);
        return;
    }
    m_loop->state().reach.recordSent(action.target.id, monotonicNow());
    sendAttempt({ action.attempt, action.target.id, false, nullptr, {} }, endpoint.value(),
        encodeAttemptRequest(m_request, action, !m_machine.requestInfo().model.empty(), m_machine.requestInfo().team));
}

void RequestExchange::sendAttempt(
    TargetCall call, const boost::asio::ip::tcp::endpoint& endpoint, const HttpRequest& request)
{
    const auto attempt = call.attempt;
    const auto connection = m_loop->pool().acquire(endpoint, monotonicNow());
    call.connection = connection;
    m_calls.push_back(std::move(call));
    connection->send(encodeRequest(request), m_request.method == "HEAD",
        [self = shared_from_this(), attempt](ClientEvent event) { self->onTargetEvent(attempt, std::move(event)); });
}

void RequestExchange::failUnsent(uint32_t attempt)
{
    boost::asio::post(m_loop->loop().context(), [self = shared_from_this(), attempt] {
        self->handle(AttemptDisconnected { attempt, false });
    });
}

void RequestExchange::perform(const CancelAttempt& action)
{
    log("attempt_cancelled", { { "attempt", std::to_string(action.attempt) }, { "target", targetOf(action.attempt) } });
    closeCall(action.attempt);
}

void RequestExchange::perform(const ForwardHead& action)
{
    observeElapsed(Metric::FirstByteSeconds);
    m_firstByteAt = monotonicNow();
    m_lastByteAt = m_firstByteAt;
    const auto* call = findCall(action.attempt);
    HttpResponseHead head = call ? call->head : HttpResponseHead {};
    m_responseStatus = head.status;
    if (m_machine.requestInfo().isRelayed)
        addRelayResponse(head, action);
    m_callerConnection->sendHead(head, action.bodyBytes);
}

void RequestExchange::perform(const ForwardData& action)
{
    const auto now = monotonicNow();
    m_longestPause = std::max(m_longestPause, now - m_lastByteAt);
    m_lastByteAt = now;
    m_callerConnection->sendData(action.data);
    pauseWhileCallerIsSlow();
}

void RequestExchange::perform(const FinishResponse&)
{
    log("answered",
        { { "status", std::to_string(m_responseStatus) }, { "target", m_lastTarget.id },
            { "first_byte_ms", std::to_string(toMilliseconds(m_firstByteAt - m_machine.requestInfo().receivedAt)) },
            { "longest_pause_ms", std::to_string(toMilliseconds(m_longestPause)) }, { "elapsed_ms", elapsedText() } });
    m_loop->state().metrics.add(Metric::Requests, std::to_string(m_responseStatus));
    observeElapsed(Metric::RequestSeconds);
    m_callerConnection->setDisconnectHandler(nullptr);
    m_callerConnection->finish();
    keepUntilWritten();
}

void RequestExchange::perform(const AbortResponse&)
{
    log("answer_broken_off", { { "target", m_lastTarget.id }, { "elapsed_ms", elapsedText() } });
    m_loop->state().metrics.add(Metric::Requests, "broken_off");
    m_callerConnection->abort();
}

void RequestExchange::perform(const SendLocalResponse& action)
{
    log("answered_by_node",
        { { "route", m_machine.requestInfo().route.name }, { "artifact", artifactText() },
            { "outcome", std::string(nameOf(action.kind)) }, { "reason", action.reason }, { "target", m_lastTarget.id },
            { "elapsed_ms", elapsedText() } });
    m_loop->state().metrics.add(Metric::Refusals, action.reason);
    const auto& requestInfo = m_machine.requestInfo();
    if (action.kind == LocalResponseKind::NotRun && requestInfo.allotmentCost > 0)
        m_loop->state().allotments.refund(*requestInfo.team, requestInfo.allotmentCost, suspendAwareNow());
    m_callerConnection->setDisconnectHandler(nullptr);
    auto head = encodeNodeResponse(action, requestInfo.id);
    if (requestInfo.isRelayed)
        addRelayResponse(head, action);
    m_callerConnection->sendResponse(head, {});
    keepUntilWritten();
}

void RequestExchange::perform(const ReportStatement& action)
{
    const auto statement = std::string(nameOf(action.statement));
    log("target_statement",
        { { "statement", statement }, { "target", m_lastTarget.id }, { "address", m_lastTarget.address },
            { "pause_left_ms", std::to_string(toMilliseconds(action.pauseLeft)) },
            { "refusal_limit", std::to_string(action.refusalLimit) } });
    m_loop->state().metrics.add(Metric::TargetStatements, statement);
}

void RequestExchange::perform(const ReportLostAnswer& action)
{
    m_loop->state().onLostAnswer({ action.target, m_machine.requestInfo().promptParts, action.attempt });
}

void RequestExchange::onTargetEvent(uint32_t attempt, ClientEvent event)
{
    if (const auto* call = findCall(attempt))
        recordReach(*call, event);
    std::visit(Overloaded {
                   [&](ResponseHeadReceived& received) { onHeadReceived(attempt, std::move(received)); },
                   [&](ResponseDataReceived& received) { handleData(attempt, std::move(received.data)); },
                   [&](ResponseComplete& complete) {
                       if (auto* call = findCall(attempt))
                           m_loop->pool().release(std::exchange(call->connection, nullptr), monotonicNow());
                       handle(ResponseCompleted { attempt, complete.isFramed });
                       closeCall(attempt);
                   },
                   [&](CallFailed& failure) {
                       const auto progress = std::string(nameOf(m_machine.answerProgress()));
                       log("attempt_failed",
                           { { "attempt", std::to_string(attempt) }, { "target", targetOf(attempt) },
                               { "was_sent", failure.wasSent ? "true" : "false" }, { "answer", progress },
                               { "step", failure.error.step }, { "message", failure.error.message } });
                       closeCall(attempt);
                       if (failure.wasSent)
                           m_loop->state().metrics.add(Metric::LostAttempts, progress);
                       handle(AttemptDisconnected { attempt, failure.wasSent, failure.isClosedByServer });
                   },
               },
        event);
}

void RequestExchange::onHeadReceived(uint32_t attempt, ResponseHeadReceived received)
{
    auto info = decodeResponseHead(received.head, m_machine.requestInfo().id, received.isFirstOfConnection);
    auto* call = findCall(attempt);
    if (call && call->isRelayed && !applyRelayResponse(attempt, received.head, info))
        return;
    logUnsuccessfulResponse(attempt, info);
    if (call)
        call->head = std::move(received.head);
    handle(ResponseStarted { attempt, info });
}

void RequestExchange::recordReach(const TargetCall& call, const ClientEvent& event)
{
    if (call.isRelayed)
        return;
    auto& state = m_loop->state();
    const auto now = monotonicNow();
    std::visit(
        Overloaded {
            [&](const ResponseHeadReceived& received) {
                state.reach.recordReceived(now);
                // It may have been opened before the path was lost, so it ends no isolation.
                if (received.isFirstOfConnection && !state.reach.isIsolated())
                    (void)state.reach.recordConnected();
            },
            [&](const ResponseDataReceived&) { state.reach.recordReceived(now); },
            [](const ResponseComplete&) {},
            [&](const CallFailed& failure) {
                if (!failure.wasSent && state.reach.recordConnectFailure(call.target, state.targets.count()))
                    log("targets_unreachable", { { "target", call.target }, { "message", failure.error.message } });
            },
        },
        event);
}

void RequestExchange::logUnsuccessfulResponse(uint32_t attempt, const ResponseInfo& head)
{
    const bool isSuccess = head.status < firstErrorStatus && head.matchesRequestId && head.hasReceipt;
    if (isSuccess)
        return;
    const auto boolText = [](bool value) { return value ? "true" : "false"; };
    log("attempt_answered",
        { { "attempt", std::to_string(attempt) }, { "target", targetOf(attempt) },
            { "status", std::to_string(head.status) }, { "not_run", boolText(head.isNotRun) },
            { "other_instance", boolText(head.isMisdirected) }, { "own", boolText(head.matchesRequestId) },
            { "receipt", boolText(head.hasReceipt) } });
}

void RequestExchange::handleData(uint32_t attempt, std::string data)
{
    if (!m_answerShare.resize(m_machine.bufferedBytes() + data.size())) {
        log("attempt_failed",
            { { "attempt", std::to_string(attempt) }, { "target", targetOf(attempt) },
                { "message", "all requests together buffer too much" } });
        closeCall(attempt);
        handle(AttemptDisconnected { attempt, true });
    } else {
        handle(ResponseContinued { attempt, std::move(data) });
    }
    (void)m_answerShare.resize(m_machine.bufferedBytes());
}

void RequestExchange::pauseWhileCallerIsSlow()
{
    if (!m_callerConnection->isCongested())
        return;
    for (const auto& call : m_calls) {
        if (call.connection)
            call.connection->pauseReading();
    }
    (void)m_machine.handle(ForwardingPaused {}, monotonicNow());
    m_callerConnection->setWritableHandler([self = shared_from_this()] {
        for (const auto& call : self->m_calls) {
            if (call.connection)
                call.connection->resumeReading();
        }
        self->handle(ForwardingResumed {});
    });
}

RequestExchange::TargetCall* RequestExchange::findCall(uint32_t attempt)
{
    const auto call
        = std::find_if(m_calls.begin(), m_calls.end(), [&](const auto& entry) { return entry.attempt == attempt; });
    return call == m_calls.end() ? nullptr : &*call;
}

std::string RequestExchange::targetOf(uint32_t attempt)
{
    const auto* call = findCall(attempt);
    return call ? call->target : m_lastTarget.id;
}

void RequestExchange::closeCall(uint32_t attempt)
{
    const auto call
        = std::find_if(m_calls.begin(), m_calls.end(), [&](const auto& entry) { return entry.attempt == attempt; });
    if (call == m_calls.end())
        return;
    const auto connection = std::move(call->connection);
    m_calls.erase(call);
    if (connection)
        connection->close();
}

void RequestExchange::keepUntilWritten()
{
    if (m_callerConnection->hasQueuedOutput())
        m_callerConnection->setWritableHandler([self = shared_from_this()] {});
}

void RequestExchange::armTimer()
{
    const auto wakeTime = m_machine.nextTimerAt();
    if (!wakeTime || m_timer.expiry() == *wakeTime)
        return;
    m_timer.expires_at(*wakeTime);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec)
            self->handle(TimerFired {});
    });
}

void RequestExchange::log(std::string_view event, std::initializer_list<LogField> fields)
{
    logRequestEvent(m_machine.requestInfo().id, event, fields);
}

void RequestExchange::observeElapsed(Metric metric)
{
    const auto now = monotonicNow();
    const auto& requestInfo = m_machine.requestInfo();
    m_loop->state().metrics.observe(metric, now - requestInfo.receivedAt, now, requestInfo.service);
}

std::string RequestExchange::artifactText() const
{
    const auto& requestInfo = m_machine.requestInfo();
    return requestInfo.adapter.empty() ? requestInfo.model : requestInfo.model + "/" + requestInfo.adapter;
}

std::string RequestExchange::promptPartsText() const
{
    std::string text;
    for (const auto& part : m_machine.requestInfo().promptParts.shared)
        text.append(part).append(",");
    return text + m_machine.requestInfo().promptParts.own;
}

std::string RequestExchange::elapsedText() const
{
    return std::to_string(toMilliseconds(monotonicNow() - m_machine.requestInfo().receivedAt));
}

} // namespace cyclamenstair

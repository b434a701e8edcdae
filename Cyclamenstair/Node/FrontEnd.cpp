#include <Cyclamenstair/Node/FrontEnd.h>

#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Node/HttpErrors.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr size_t maxPathBytes = 1024;
    constexpr int64_t defaultMaxTokens = 16;

    /// Work before the first token, in tokens. Without it the time per token of work would depend on the response
    /// length.
    constexpr double prefillWorkTokens = 4;

    /// Lowest error status. The time of an error response is no measure of the target's speed.
    constexpr int minErrorStatus = 400;

    /// Maximum nesting depth of arrays and objects in a caller's JSON.
    constexpr int maxJsonDepth = 64;

    /// Counts a request as in progress during its lifetime.
    class ScopedRequestCount {
    public:
        explicit ScopedRequestCount(std::atomic<int>& count)
            : m_count(&count)
        {
            ++*m_count;
        }
        ~ScopedRequestCount() { --*m_count; }
        ScopedRequestCount(const ScopedRequestCount&) = delete;
        ScopedRequestCount& operator=(const ScopedRequestCount&) = delete;

    private:
        std::atomic<int>* m_count;
    };

    [[noreturn]] void throwError(ErrorKind kind, const std::string& step, const std::string& message)
    {
        throw Exception({ kind, step, "", message });
    }

    Json parseJsonBody(const std::string& body)
    {
        bool isTooDeep = false;
        const auto limitDepth = [&](int depth, Json::parse_event_t, Json&) {
            isTooDeep |= depth > maxJsonDepth;
            return !isTooDeep;
        };
        auto json = Json::parse(body, limitDepth, false);
        if (isTooDeep || json.is_discarded() || !json.is_object())
            throwError(ErrorKind::InvalidInput, "request.parse",
                "the body must be a JSON object with at most 64 nested levels");
        return json;
    }

    template <typename Value> Value fieldOr(const Json& object, const char* name, Value fallback)
    {
        const auto field = object.find(name);
        if (field == object.end() || field->is_null())
            return fallback;
        try {
            return field->get<Value>();
        } catch (const Json::exception&) {
            throwError(
                ErrorKind::InvalidInput, "request.parse", std::string("field '") + name + "' has the wrong type");
        }
    }

    HttpListenerSettings listenerSettings(const schema::CallerSettingsT& settings)
    {
        // The library's default of about one worker per core would make short requests wait for long streams.
        return { settings.address, settings.port, static_cast<size_t>(settings.threads),
            static_cast<size_t>(settings.max_body_bytes), settings.tls_certificate, settings.tls_key };
    }

    bool isAllowed(const CallerSpec& caller, const std::string& artifact)
    {
        return caller.allowed.empty()
            || std::find(caller.allowed.begin(), caller.allowed.end(), artifact) != caller.allowed.end();
    }

} // namespace

Result<std::unique_ptr<FrontEnd>> FrontEnd::create(
    const schema::SettingsT& settings, const ActivePlan& plans, const FrontEndDependencies& dependencies)
{
    std::unique_ptr<FrontEnd> frontEnd(new FrontEnd(settings, plans, dependencies));
    if (const auto started = frontEnd->m_listener.start(); !started)
        return started.error();
    return frontEnd;
}

FrontEnd::FrontEnd(const schema::SettingsT& settings, const ActivePlan& plans, const FrontEndDependencies& dependencies)
    : m_settings(settings)
    , m_plans(&plans)
    , m_dependencies(dependencies)
    , m_listener(listenerSettings(*settings.caller))
{
    addRoutes();
}

FrontEnd::~FrontEnd() { stop(); }

void FrontEnd::stop() { m_listener.stop(); }

void FrontEnd::addRoutes()
{
    auto& http = m_listener.http();
    http.Get("/health", [this](const httplib::Request&, httplib::Response& response) { handleProbe(false, response); });
    http.Get("/ready", [this](const httplib::Request&, httplib::Response& response) { handleProbe(true, response); });
    http.Get("/v1/models",
        [this](const httplib::Request& http, httplib::Response& response) { handleListModels(http, response); });
    const auto completion
        = [this](const httplib::Request& http, httplib::Response& response) { handleCompletion(http, response); };
    http.Post("/v1/completions", completion);
    http.Post("/v1/chat/completions", completion);
    const auto service
        = [this](const httplib::Request& http, httplib::Response& response) { handleService(http, response); };
    const char* servicePath = "/services/([^/]+)(/.*)?";
    http.Get(servicePath, service);
    http.Post(servicePath, service);
    http.Put(servicePath, service);
    http.Delete(servicePath, service);
    http.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(m_dependencies.metrics->prometheusText(m_requestsInProgress), "text/plain; version=0.0.4");
    });
    http.set_exception_handler([this](const httplib::Request&, httplib::Response& response,
                                   const std::exception_ptr& thrown) {
        try {
            std::rethrow_exception(thrown);
        } catch (const Exception& exception) {
            m_dependencies.metrics->recordFailure(RequestOutcome::NotRun, exception.error());
            writeErrorResponse(response, randomId(), exception.error());
        } catch (const std::exception& exception) {
            logEvent(LogSeverity::Error, "request_failed", { { "message", exception.what() } });
            writeErrorResponse(response, randomId(), { ErrorKind::Internal, "request.handle", "", "internal error" });
        }
    });
}

void FrontEnd::handleProbe(bool isReadinessProbe, httplib::Response& response) const
{
    const bool isReady = m_isReady && m_plans->revision() > 0;
    response.status = !isReadinessProbe || isReady ? 200 : 503;
    response.set_content(
        Json { { "ready", isReady }, { "plan_revision", m_plans->revision() } }.dump(), "application/json");
}

std::shared_ptr<const Plan> FrontEnd::activePlan() const
{
    if (m_isRefusing)
        throwError(ErrorKind::NotRun, "request.admission", "the node is stopping");
    auto plan = m_plans->plan();
    if (!plan)
        throwError(ErrorKind::NotRun, "request.admission", "the node has not received a plan yet");
    return plan;
}

CallerSpec FrontEnd::authenticate(const Plan& plan, const httplib::Request& http) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = http.get_header_value("Authorization");
    if (header.starts_with(scheme)) {
        const auto token = std::string_view(header).substr(scheme.size());
        for (const auto& caller : plan.callers) {
            if (verifyToken(token, caller.tokenHash))
                return caller;
        }
    }
    throwError(ErrorKind::Unauthorized, "request.authenticate",
        "the Authorization header has no bearer token or an unknown one");
}

Request FrontEnd::makeRequest(const httplib::Request& http, const CallerSpec& caller, const std::string& artifact) const
{
    if (http.path.size() > maxPathBytes)
        throwError(ErrorKind::InvalidInput, "request.parse", "the path is longer than 1024 bytes");
    if (!isAllowed(caller, artifact))
        throwError(ErrorKind::Forbidden, "request.authorize", "the caller is not allowed to use '" + artifact + "'");
    Request request;
    request.id = randomId();
    request.caller = caller.name;
    request.artifact = artifact;
    request.method = http.method;
    request.path = http.path;
    request.body = http.body;
    request.contentType = http.get_header_value("Content-Type");
    request.idempotencyKey = http.get_header_value("Idempotency-Key");
    request.priority = caller.priority;
    request.arrival = monotonicNow();
    request.window = caller.window.count() > 0 ? caller.window : milliseconds(m_settings.request->window_ms);
    return request;
}

void FrontEnd::handleListModels(const httplib::Request& http, httplib::Response& response) const
{
    const auto plan = activePlan();
    const auto caller = authenticate(*plan, http);
    Json models = Json::array();
    const auto add = [&](const std::string& name) {
        if (isAllowed(caller, name))
            models.push_back({ { "id", name }, { "object", "model" }, { "owned_by", "cyclamenstair" } });
    };
    for (const auto& model : plan->models)
        add(model.name);
    for (const auto& adapter : plan->adapters)
        add(adapter.name);
    response.set_content(Json { { "object", "list" }, { "data", models } }.dump(), "application/json");
}

void FrontEnd::handleCompletion(const httplib::Request& http, httplib::Response& response)
{
    const ScopedRequestCount requestCount(m_requestsInProgress);
    const auto plan = activePlan();
    const auto caller = authenticate(*plan, http);
    const auto body = parseJsonBody(http.body);
    const auto model = fieldOr<std::string>(body, "model", "");
    if (!plan->findModel(model) && !plan->findAdapter(model))
        throwError(ErrorKind::NotFound, "request.parse", "model '" + model + "' is not in the plan");
    m_dependencies.demand->record(model, monotonicNow());
    auto request = makeRequest(http, caller, model);
    request.isStream = fieldOr(body, "stream", false);
    const auto maxTokens = fieldOr<int64_t>(body, "max_tokens", defaultMaxTokens);
    request.workClass = maxTokens >= m_settings.request->long_work_tokens ? WorkClass::Long : WorkClass::Short;
    admitAndRespond(
        request, caller, static_cast<double>(std::max<int64_t>(1, maxTokens)) + prefillWorkTokens, response);
}

void FrontEnd::handleService(const httplib::Request& http, httplib::Response& response)
{
    const ScopedRequestCount requestCount(m_requestsInProgress);
    const auto plan = activePlan();
    const auto caller = authenticate(*plan, http);
    const auto name = http.matches[1].str();
    const auto* service = plan->findService(name);
    if (!service)
        throwError(ErrorKind::NotFound, "request.parse", "service '" + name + "' is not in the plan");
    auto request = makeRequest(http, caller, name);
    request.path = http.matches[2].matched ? http.matches[2].str() : "/";
    if (const auto query = http.target.find('?'); query != std::string::npos)
        request.path += http.target.substr(query);
    request.isRepeatable = service->repeatable || http.method == "GET";
    if (!request.isRepeatable && request.idempotencyKey.empty())
        throwError(ErrorKind::InvalidInput, "request.parse",
            "requests to this service are not repeatable and require an Idempotency-Key header");
    admitAndRespond(request, caller, 1, response);
}

void FrontEnd::admitAndRespond(
    const Request& request, const CallerSpec& caller, double workTokens, httplib::Response& response)
{
    if (const auto retryAfter
        = m_dependencies.quota->consumeOrGetDelay(caller, m_dependencies.admission->liveNodes())) {
        respondWithFailure(request,
            { RequestOutcome::NotRun,
                { ErrorKind::LimitExceeded, "request.quota", "", "the caller exceeded its request rate" },
                *retryAfter },
            response);
        return;
    }
    auto admitted = m_dependencies.admission->acquire(request, workTokens);
    if (const auto* failure = std::get_if<RequestFailure>(&admitted)) {
        respondWithFailure(request, *failure, response);
        return;
    }
    m_dependencies.metrics->recordAdmitted(request);
    auto& permit = std::get<std::unique_ptr<AdmissionGate::Permit>>(admitted);
    try {
        if (request.isStream)
            respondStreaming(request, std::move(permit), response);
        else
            respondBuffered(request, *permit, response);
    } catch (const std::exception& exception) {
        // The request may have reached a target, so "not run" cannot be claimed.
        logEvent(LogSeverity::Error, "request_failed", { { "request", request.id }, { "message", exception.what() } });
        respondWithFailure(request,
            { RequestOutcome::Unknown, { ErrorKind::Internal, "request.handle", "", "internal error" }, Duration(0) },
            response);
    }
}

void FrontEnd::respondWithFailure(const Request& request, const RequestFailure& failure, httplib::Response& response)
{
    m_dependencies.metrics->recordFailure(failure.outcome, failure.error);
    writeFailureResponse(response, request.id, failure);
}

void FrontEnd::respondBuffered(const Request& request, AdmissionGate::Permit& permit, httplib::Response& response)
{
    // Stored responses that are returned for a retry do not count as observations of the service time.
    const auto onResponse = [&](Duration serviceTime) { permit.markComplete(serviceTime); };
    auto result = request.isRepeatable ? m_dependencies.executor->run(request)
                                       : m_dependencies.bookings->run(request, onResponse);
    if (const auto* failure = std::get_if<RequestFailure>(&result)) {
        respondWithFailure(request, *failure, response);
        return;
    }
    const auto& buffered = std::get<BufferedResponse>(result);
    if (request.isRepeatable && buffered.status < minErrorStatus)
        permit.markComplete();
    m_dependencies.metrics->recordComplete(request);
    response.status = buffered.status;
    response.set_header("X-Outcome", std::string(nameOf(RequestOutcome::Complete)));
    response.set_header("X-Request-Id", request.id);
    response.set_content(buffered.body, buffered.contentType);
}

void FrontEnd::respondStreaming(
    const Request& request, std::unique_ptr<AdmissionGate::Permit> admissionPermit, httplib::Response& response)
{
    auto started = m_dependencies.executor->start(request);
    if (const auto* failure = std::get_if<RequestFailure>(&started)) {
        respondWithFailure(request, *failure, response);
        return;
    }
    // Shared because the library copies the content provider. The last copy cancels the execution and releases the
    // permit.
    const std::shared_ptr<RequestExecution> execution = std::move(std::get<std::unique_ptr<RequestExecution>>(started));
    const std::shared_ptr<AdmissionGate::Permit> permit = std::move(admissionPermit);
    const auto requestCount = std::make_shared<ScopedRequestCount>(m_requestsInProgress);
    m_dependencies.metrics->recordFirstByte(request);
    response.status = execution->head().status;
    // Valid only if the stream ends with its last chunk; a broken stream ends without it.
    response.set_header("X-Outcome", std::string(nameOf(RequestOutcome::Complete)));
    response.set_header("X-Request-Id", request.id);
    response.set_chunked_content_provider(execution->head().contentType,
        [this, request, execution, permit, requestCount](size_t, httplib::DataSink& sink) {
            auto event = execution->next();
            if (const auto* data = std::get_if<AttemptData>(&event))
                return sink.write(data->bytes.data(), data->bytes.size());
            if (std::holds_alternative<AttemptPending>(event))
                return true; // The library checks the caller's connection and calls again.
            if (!std::holds_alternative<AttemptEnd>(event))
                return false; // Closes the connection without the last chunk, so that callers detect the failure.
            if (execution->head().status < minErrorStatus)
                permit->markComplete();
            m_dependencies.metrics->recordComplete(request);
            sink.done();
            return true;
        });
}

} // namespace cyclamenstair

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

    /// Work before the first token in units of a token, so that the time for a unit hardly depends on the length.
    constexpr double prefillWork = 4;

    /// Status from which on an answer is an error, whose time says nothing about the target's speed.
    constexpr int firstErrorStatus = 400;

    /// Depth of nested arrays and objects that a caller's JSON may have.
    constexpr int maxJsonDepth = 64;

    /// Counts a call for as long as it is answered.
    class CallGuard {
    public:
        explicit CallGuard(std::atomic<int>& count)
            : m_count(&count)
        {
            ++*m_count;
        }
        ~CallGuard() { --*m_count; }
        CallGuard(const CallGuard&) = delete;
        CallGuard& operator=(const CallGuard&) = delete;

    private:
        std::atomic<int>* m_count;
    };

    [[noreturn]] void refuse(ErrorKind kind, const std::string& step, const std::string& message)
    {
        throw Exception({ kind, step, "", message });
    }

    Json parseBody(const std::string& body)
    {
        bool isTooDeep = false;
        const auto limitDepth = [&](int depth, Json::parse_event_t, Json&) {
            isTooDeep |= depth > maxJsonDepth;
            return !isTooDeep;
        };
        auto json = Json::parse(body, limitDepth, false);
        if (isTooDeep || json.is_discarded() || !json.is_object())
            refuse(ErrorKind::InvalidInput, "request.parse", "the body is not a JSON object of moderate depth");
        return json;
    }

    template <typename Value> Value fieldOr(const Json& object, const char* name, Value fallback)
    {
        const auto found = object.find(name);
        if (found == object.end() || found->is_null())
            return fallback;
        try {
            return found->get<Value>();
        } catch (const Json::exception&) {
            refuse(ErrorKind::InvalidInput, "request.parse", std::string("field '") + name + "' has the wrong type");
        }
    }

    HttpListenerSettings listenerSettings(const schema::CallerSettingsT& settings)
    {
        // With the library's default of about one worker a core, short calls would wait behind long streams.
        return { settings.address, settings.port, static_cast<size_t>(settings.threads),
            static_cast<size_t>(settings.max_body_bytes), settings.tls_certificate, settings.tls_key };
    }

    bool mayUse(const CallerSpec& caller, const std::string& artifact)
    {
        return caller.allowed.empty()
            || std::find(caller.allowed.begin(), caller.allowed.end(), artifact) != caller.allowed.end();
    }

} // namespace

Result<std::unique_ptr<FrontEnd>> FrontEnd::create(
    const schema::SettingsT& settings, const ActivePlan& plans, const FrontEndParts& parts)
{
    std::unique_ptr<FrontEnd> frontEnd(new FrontEnd(settings, plans, parts));
    if (const auto started = frontEnd->m_listener.start(); !started)
        return started.error();
    return frontEnd;
}

FrontEnd::FrontEnd(const schema::SettingsT& settings, const ActivePlan& plans, const FrontEndParts& parts)
    : m_settings(settings)
    , m_plans(&plans)
    , m_parts(parts)
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
        [this](const httplib::Request& http, httplib::Response& response) { listModels(http, response); });
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
        response.set_content(m_parts.metrics->text(m_callsInProgress), "text/plain; version=0.0.4");
    });
    http.set_exception_handler(
        [this](const httplib::Request&, httplib::Response& response, const std::exception_ptr& thrown) {
            try {
                std::rethrow_exception(thrown);
            } catch (const Exception& exception) {
                m_parts.metrics->recordFailure(RequestOutcome::NotRun, exception.error());
                writeError(response, randomId(), exception.error());
            } catch (const std::exception& exception) {
                logEvent(LogSeverity::Error, "request_failed", { { "message", exception.what() } });
                writeError(response, randomId(), { ErrorKind::Internal, "request.handle", "", "internal error" });
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

std::shared_ptr<const Plan> FrontEnd::planInForce() const
{
    if (m_isRefusing)
        refuse(ErrorKind::NotRun, "request.admission", "the node is stopping");
    auto plan = m_plans->plan();
    if (!plan)
        refuse(ErrorKind::NotRun, "request.admission", "the node has no plan yet");
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
    refuse(ErrorKind::Unauthorized, "request.authenticate", "the bearer token is missing or unknown");
}

Request FrontEnd::requestFrom(const httplib::Request& http, const CallerSpec& caller, const std::string& artifact) const
{
    if (http.path.size() > maxPathBytes)
        refuse(ErrorKind::InvalidInput, "request.parse", "the path is too long");
    if (!mayUse(caller, artifact))
        refuse(ErrorKind::Forbidden, "request.authorize", "the caller may not use '" + artifact + "'");
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

void FrontEnd::listModels(const httplib::Request& http, httplib::Response& response) const
{
    const auto plan = planInForce();
    const auto caller = authenticate(*plan, http);
    Json models = Json::array();
    const auto add = [&](const std::string& name) {
        if (mayUse(caller, name))
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
    const CallGuard guard(m_callsInProgress);
    const auto plan = planInForce();
    const auto caller = authenticate(*plan, http);
    const auto body = parseBody(http.body);
    const auto model = fieldOr<std::string>(body, "model", "");
    if (!plan->findModel(model) && !plan->findAdapter(model))
        refuse(ErrorKind::NotFound, "request.parse", "model '" + model + "' is not in the plan");
    m_parts.demand->record(model, monotonicNow());
    auto request = requestFrom(http, caller, model);
    request.isStream = fieldOr(body, "stream", false);
    const auto maxTokens = fieldOr<int64_t>(body, "max_tokens", defaultMaxTokens);
    request.workClass = maxTokens >= m_settings.request->long_work_tokens ? WorkClass::Long : WorkClass::Short;
    admitAndAnswer(request, caller, static_cast<double>(std::max<int64_t>(1, maxTokens)) + prefillWork, response);
}

void FrontEnd::handleService(const httplib::Request& http, httplib::Response& response)
{
    const CallGuard guard(m_callsInProgress);
    const auto plan = planInForce();
    const auto caller = authenticate(*plan, http);
    const auto name = http.matches[1].str();
    const auto* service = plan->findService(name);
    if (!service)
        refuse(ErrorKind::NotFound, "request.parse", "service '" + name + "' is not in the plan");
    auto request = requestFrom(http, caller, name);
    request.path = http.matches[2].matched ? http.matches[2].str() : "/";
    if (const auto query = http.target.find('?'); query != std::string::npos)
        request.path += http.target.substr(query);
    request.isRepeatable = service->repeatable || http.method == "GET";
    if (!request.isRepeatable && request.idempotencyKey.empty())
        refuse(ErrorKind::InvalidInput, "request.parse",
            "the call may not be repeated and needs an Idempotency-Key header");
    admitAndAnswer(request, caller, 1, response);
}

void FrontEnd::admitAndAnswer(
    const Request& request, const CallerSpec& caller, double work, httplib::Response& response)
{
    if (const auto wait = m_parts.quota->take(caller, m_parts.admission->liveNodes())) {
        answerFailure(request,
            { RequestOutcome::NotRun,
                { ErrorKind::LimitExceeded, "request.quota", "", "the caller's request rate is used up" }, *wait },
            response);
        return;
    }
    auto entered = m_parts.admission->enter(request, work);
    if (const auto* failure = std::get_if<RequestFailure>(&entered)) {
        answerFailure(request, *failure, response);
        return;
    }
    m_parts.metrics->recordAdmitted(request);
    auto& pass = std::get<std::unique_ptr<AdmissionGate::Pass>>(entered);
    try {
        if (request.isStream)
            answerStream(request, std::move(pass), response);
        else
            answerWhole(request, *pass, response);
    } catch (const std::exception& exception) {
        // The request may have been sent, so that "not run" would be a guess.
        logEvent(LogSeverity::Error, "request_failed", { { "request", request.id }, { "message", exception.what() } });
        answerFailure(request,
            { RequestOutcome::Unknown, { ErrorKind::Internal, "request.handle", "", "internal error" }, Duration(0) },
            response);
    }
}

void FrontEnd::answerFailure(const Request& request, const RequestFailure& failure, httplib::Response& response)
{
    m_parts.metrics->recordFailure(failure.outcome, failure.error);
    writeFailure(response, request.id, failure);
}

void FrontEnd::answerWhole(const Request& request, AdmissionGate::Pass& pass, httplib::Response& response)
{
    // Only calls that a target answered now count as observations, not repeated answers.
    const auto onAnswer = [&](Duration serviceTime) { pass.markComplete(serviceTime); };
    auto result = request.isRepeatable ? m_parts.executor->run(request) : m_parts.bookings->run(request, onAnswer);
    if (const auto* failure = std::get_if<RequestFailure>(&result)) {
        answerFailure(request, *failure, response);
        return;
    }
    const auto& answer = std::get<WholeAnswer>(result);
    if (request.isRepeatable && answer.status < firstErrorStatus)
        pass.markComplete();
    m_parts.metrics->recordComplete(request);
    response.status = answer.status;
    response.set_header("X-Outcome", std::string(nameOf(RequestOutcome::Complete)));
    response.set_header("X-Request-Id", request.id);
    response.set_content(answer.body, answer.contentType);
}

void FrontEnd::answerStream(
    const Request& request, std::unique_ptr<AdmissionGate::Pass> pass, httplib::Response& response)
{
    auto started = m_parts.executor->start(request);
    if (const auto* failure = std::get_if<RequestFailure>(&started)) {
        answerFailure(request, *failure, response);
        return;
    }
    // Shared, because the library copies the provider that owns the running answer. The last copy frees the place.
    const std::shared_ptr<RunningAnswer> answer = std::move(std::get<std::unique_ptr<RunningAnswer>>(started));
    const std::shared_ptr<AdmissionGate::Pass> place = std::move(pass);
    const auto guard = std::make_shared<CallGuard>(m_callsInProgress);
    m_parts.metrics->recordFirstByte(request);
    response.status = answer->head().status;
    // Holds if the stream ends with its last chunk; a broken stream ends without it.
    response.set_header("X-Outcome", std::string(nameOf(RequestOutcome::Complete)));
    response.set_header("X-Request-Id", request.id);
    response.set_chunked_content_provider(
        answer->head().contentType, [this, request, answer, place, guard](size_t, httplib::DataSink& sink) {
            auto event = answer->next();
            if (const auto* data = std::get_if<AttemptData>(&event))
                return sink.write(data->bytes.data(), data->bytes.size());
            if (std::holds_alternative<AttemptPending>(event))
                return true; // The library checks the caller's connection and calls again.
            if (!std::holds_alternative<AttemptEnd>(event))
                return false; // The connection ends without the last chunk, which callers see as a broken answer.
            if (answer->head().status < firstErrorStatus)
                place->markComplete();
            m_parts.metrics->recordComplete(request);
            sink.done();
            return true;
        });
}

} // namespace cyclamenstair

#include <StandIns/EngineStandIn.h>

#include <Cyclamenstair/Core/Hash.h>

namespace cyclamenstair::standin {

namespace {

    using Json = nlohmann::json;

    /// Exceeds the number of requests queued at a slow engine; with fewer threads, orders and reports would have to
    /// wait for queued requests.
    constexpr size_t engineThreads = 512;
    constexpr double sleepStepMs = 20;
    constexpr Duration maxReportLag = milliseconds(10000);
    constexpr Duration maxStallDuration = std::chrono::seconds(60);

    std::string parsePrompt(const Json& body, bool isChat)
    {
        if (!isChat)
            return body.value("prompt", "");
        std::string prompt;
        for (const auto& message : body.value("messages", Json::array()))
            prompt += message.value("content", "") + "\n";
        return prompt;
    }

} // namespace

std::string expectedToken(const std::string& model, const std::string& prompt, uint32_t index)
{
    return " w" + std::to_string(stableHash(prompt, stableHash(model) + index) % 10000);
}

std::string expectedCompletion(const std::string& model, const std::string& prompt, uint32_t tokens)
{
    std::string text;
    for (uint32_t index = 0; index < tokens; ++index)
        text += expectedToken(model, prompt, index);
    return text;
}

/// Parsed completion request.
struct EngineStandIn::Completion {
    std::string requestId;
    std::string attempt;
    std::string model;
    std::string prompt;
    uint32_t maxTokens { 16 };
    uint32_t resumeFrom { 0 }; ///< Number of tokens that the client already has.
    int priority { 0 };
    bool isChat { false };

    Json choice(const std::string& text, bool isLast, bool isStream) const
    {
        Json choice { { "index", 0 }, { "finish_reason", isLast ? Json("length") : Json(nullptr) } };
        if (!isChat)
            choice["text"] = text;
        else
            choice[isStream ? "delta" : "message"] = { { "role", "assistant" }, { "content", text } };
        const char* object = isChat ? (isStream ? "chat.completion.chunk" : "chat.completion") : "text_completion";
        return { { "id", requestId }, { "object", object }, { "model", model },
            { "choices", Json::array({ choice }) } };
    }
};

EngineStandIn::EngineStandIn(EngineSettings settings, int port)
    : m_core(std::move(settings))
    , m_server(port, engineThreads)
{
    addOrderRoutes();
    addCompletionRoutes();
    addReportRoutes();
}

void EngineStandIn::addOrderRoutes()
{
    auto& http = m_server.http();
    http.Post("/v2/repository/index", [this](const httplib::Request&, httplib::Response& response) {
        Json rows = Json::array();
        for (const auto& artifact : m_core.artifacts())
            rows.push_back({ { "name", artifact }, { "state", "READY" } });
        response.set_header("X-Instance", m_core.instance());
        response.set_header("X-Enforced-Epoch", std::to_string(m_core.enforcedEpoch()));
        writeJson(response, rows);
    });
    http.Post("/v2/repository/epoch", [this](const httplib::Request& request, httplib::Response& response) {
        if (!m_core.enforcesFencing())
            writeJson(response, { { "error", "unknown path" } }, 404);
        else if (m_core.acceptEpoch(parseBody(request).value("parameters", Json::object()).value("epoch", uint64_t(0))))
            writeJson(response, Json::object());
        else
            writeJson(response, { { "error", "the epoch is older than the enforced epoch" } }, 409);
    });
    http.Post("/v2/repository/models/([^/]+)/(load|unload)",
        [this](const httplib::Request& request, httplib::Response& response) { handleOrder(request, response); });
}

void EngineStandIn::handleOrder(const httplib::Request& request, httplib::Response& response)
{
    auto& faults = m_server.faults();
    const auto artifact = request.matches[1].str();
    const auto operation = request.matches[2].str();
    const auto parameters = parseBody(request).value("parameters", Json::object());
    if (faults.consume("lose_orders")) {
        sendTruncatedResponse(response);
        return;
    }
    if (faults.consume("late_orders")) {
        // Simulates an order delayed in the network: it is executed even if newer orders arrive first.
        m_lateOrderThreads.emplace_back([this, artifact, operation, parameters] {
            std::this_thread::sleep_for(
                std::chrono::duration<double, std::milli>(m_server.faults().value("late_order_ms", 500)));
            if (m_core.acceptEpoch(parameters.value("epoch", uint64_t(0))))
                applyOrder(artifact, operation, parameters);
        });
        m_lateOrderThreads.back().detach();
        sendTruncatedResponse(response);
        return;
    }
    if (!m_core.acceptEpoch(parameters.value("epoch", uint64_t(0)))) {
        writeJson(response, { { "error", "the epoch is older than the enforced epoch" } }, 409);
        return;
    }
    applyOrder(artifact, operation, parameters);
    if (faults.consume("lose_order_answers"))
        sendTruncatedResponse(response);
    else
        writeJson(response, Json::object());
}

void EngineStandIn::applyOrder(const std::string& artifact, const std::string& operation, const Json& parameters)
{
    if (operation == "unload") {
        m_core.unload(artifact);
        return;
    }
    if (!m_core.settings().weightStore.empty() && !parameters.contains("base_model") && !m_core.isLoaded(artifact)) {
        httplib::Client client("http://" + m_core.settings().weightStore);
        client.set_read_timeout(std::chrono::seconds(60));
        client.Get(("/weights/" + artifact).c_str());
    }
    m_core.load(artifact, parameters.value("memory_bytes", uint64_t(0)));
}

void EngineStandIn::addCompletionRoutes()
{
    auto& http = m_server.http();
    http.Post("/v1/completions", [this](const httplib::Request& request, httplib::Response& response) {
        handleCompletion(request, response, false);
    });
    http.Post("/v1/chat/completions", [this](const httplib::Request& request, httplib::Response& response) {
        handleCompletion(request, response, true);
    });
    http.Post("/v1/cancel", [this](const httplib::Request& request, httplib::Response& response) {
        const auto body = parseBody(request);
        m_core.cancel(body.value("request_id", ""), body.value("attempt", ""));
        writeJson(response, Json::object());
    });
}

void EngineStandIn::handleCompletion(const httplib::Request& request, httplib::Response& response, bool isChat)
{
    const auto body = parseBody(request);
    Completion completion;
    completion.requestId = request.get_header_value("X-Request-Id");
    completion.attempt = request.get_header_value("X-Attempt");
    completion.model = body.value("model", "");
    completion.prompt = parsePrompt(body, isChat);
    completion.maxTokens = body.value("max_tokens", 16U);
    completion.resumeFrom = body.value("resume_from", 0U);
    completion.priority = body.value("priority", 0);
    completion.isChat = isChat;
    response.set_header("X-Load", std::to_string(reportedLoad()));
    if (m_server.faults().value("refuse") > 0 || !m_core.isLoaded(completion.model)) {
        response.set_header("X-Not-Run", "true");
        writeJson(response, { { "error", "the model is not loaded, or the fault 'refuse' is set" } }, 503);
        return;
    }
    if (body.value("stream", false))
        sendStreamedResponse(completion, response);
    else
        sendBufferedResponse(completion, response);
}

void EngineStandIn::sendBufferedResponse(const Completion& completion, httplib::Response& response)
{
    const auto run = m_core.startRun(completion.requestId, completion.attempt);
    if (!m_core.acquireSlot(completion.priority, completion.requestId, completion.attempt)) {
        m_core.endRun(run, false);
        writeJson(response, { { "error", "cancelled" } }, 499);
        return;
    }
    sleepScaled(m_core.settings().prefillMs);
    for (uint32_t token = completion.resumeFrom;
         token < completion.maxTokens && !m_core.isCancelled(completion.requestId, completion.attempt); ++token) {
        sleepScaled(m_core.settings().tokenMs);
        m_core.recordToken(run);
    }
    m_core.releaseSlot();
    const bool isFinished = !m_core.isCancelled(completion.requestId, completion.attempt);
    m_core.endRun(run, isFinished);
    if (isFinished && m_server.faults().consume("fail_completions")) {
        writeJson(response, { { "error", "internal error" } }, 500);
        return;
    }
    writeJson(response,
        completion.choice(expectedCompletion(completion.model, completion.prompt, completion.maxTokens), true, false),
        isFinished ? 200 : 499);
}

void EngineStandIn::sendStreamedResponse(const Completion& completion, httplib::Response& response)
{
    const auto run = m_core.startRun(completion.requestId, completion.attempt);
    response.set_chunked_content_provider(
        "text/event-stream", [this, completion, run](size_t, httplib::DataSink& sink) {
            const auto send = [&](const std::string& data) {
                const auto event = "data: " + data + "\n\n";
                return sink.is_writable() && sink.write(event.data(), event.size());
            };
            if (!m_core.acquireSlot(completion.priority, completion.requestId, completion.attempt)) {
                m_core.endRun(run, false);
                return false;
            }
            sleepScaled(m_core.settings().prefillMs);
            bool isAlive = true;
            for (uint32_t token = completion.resumeFrom; isAlive && token < completion.maxTokens; ++token) {
                sleepScaled(m_core.settings().tokenMs);
                const auto text = expectedToken(completion.model, completion.prompt, token);
                const bool mustBreak = token > completion.resumeFrom && m_server.faults().consume("break_streams");
                if (token > completion.resumeFrom && m_server.faults().consume("stall_streams"))
                    stallStream(completion, sink);
                isAlive = !mustBreak && !m_core.isCancelled(completion.requestId, completion.attempt)
                    && send(completion.choice(text, token + 1 == completion.maxTokens, true).dump());
                if (isAlive)
                    m_core.recordToken(run);
            }
            m_core.releaseSlot();
            const bool isFinished = isAlive && send("[DONE]");
            m_core.endRun(run, isFinished);
            if (isFinished)
                sink.done();
            return isFinished;
        });
}

void EngineStandIn::stallStream(const Completion& completion, const httplib::DataSink& sink)
{
    const auto deadline = monotonicNow() + maxStallDuration;
    while (monotonicNow() < deadline && sink.is_writable()
        && !m_core.isCancelled(completion.requestId, completion.attempt))
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(sleepStepMs));
}

void EngineStandIn::addReportRoutes()
{
    auto& http = m_server.http();
    http.Get("/health", [this](const httplib::Request&, httplib::Response& response) {
        writeJson(response, { { "leaving", m_server.faults().value("leaving") > 0 } });
    });
    http.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content("engine_requests_running " + std::to_string(m_core.load()) + "\n", "text/plain");
    });
    http.Get("/log", [this](const httplib::Request&, httplib::Response& response) {
        Json runs = Json::array();
        for (const auto& run : m_core.runs()) {
            runs.push_back({ { "request_id", run.requestId }, { "attempt", run.attempt }, { "tokens", run.tokens },
                { "finished", run.isFinished }, { "cancelled", run.isCancelled } });
        }
        writeJson(response,
            { { "runs", runs }, { "overcommits", m_core.overcommits() }, { "peak_bytes", m_core.peakBytes() },
                { "artifacts", m_core.artifacts() } });
    });
}

uint32_t EngineStandIn::reportedLoad()
{
    const auto now = monotonicNow();
    const auto load = m_core.load();
    const auto reportLag = Duration(static_cast<int64_t>(m_server.faults().value("report_lag_ms") * 1000));
    std::lock_guard lock(m_loadMutex);
    m_loadHistory.emplace_back(now, load);
    while (now - m_loadHistory.front().first > maxReportLag)
        m_loadHistory.pop_front();
    // Reports the newest load that is at least `reportLag` old, or 0 if there is none.
    uint32_t reported = 0;
    for (const auto& [time, value] : m_loadHistory) {
        if (now - time < reportLag)
            break;
        reported = value;
    }
    return reported;
}

void EngineStandIn::sleepScaled(double ms)
{
    // Sleeps in steps, so that a change of `slow_factor` takes effect immediately.
    for (double remainingMs = ms; remainingMs > 0;) {
        const double factor = std::max(0.001, m_server.faults().value("slow_factor", 1));
        const double stepMs = std::min(remainingMs, sleepStepMs / factor);
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(stepMs * factor));
        remainingMs -= stepMs;
    }
}

} // namespace cyclamenstair::standin

#include <StandIns/RegisteredTargetStandIn.h>

#include <StandIns/LoopbackPort.h>

#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr uint32_t ok = 200;
    constexpr uint32_t accepted = 202;
    constexpr uint32_t conflict = 409;
    constexpr uint32_t staleFencingToken = 412;
    constexpr uint32_t wrongInstance = 421;
    constexpr uint32_t misdirected = 421;
    constexpr uint32_t unavailable = 503;
    constexpr int streamEventCount = 5;
    constexpr int eventsBeforeTruncation = 2;
    constexpr Duration eventPause = milliseconds(200);

    std::string eventText(int event) { return "id: " + std::to_string(event) + "\ndata: token\n\n"; }

    std::string headerValue(const HttpRequest& request, std::string_view name)
    {
        return fieldValue(request.fields, name).value_or("");
    }

} // namespace

RegisteredTargetStandIn::RegisteredTargetStandIn(std::string id, std::string service, std::set<std::string> models)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_address(allocateLoopbackAddress())
    , m_loadedModels(std::move(models))
{
    auto listener = ServerListener::create(
        m_address, { &m_loop }, [] { return ServerConnectionLimits {}; },
        [this](size_t, const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request) {
            handle(connection, request);
        });
    m_listener = std::move(listener).value();
    if (const auto error = m_listener->listen())
        throw Exception(*error);
    m_listener->start();
    m_loop.start();
}

RegisteredTargetStandIn::~RegisteredTargetStandIn() { m_loop.stop(); }

std::string RegisteredTargetStandIn::entry(const std::string& phase)
{
    std::lock_guard lock(m_mutex);
    return R"({"service":")" + m_service + R"(","address":")" + m_address + R"(","zone":"domain-1","version":")"
        + m_softwareVersion + R"(","slots":)" + std::to_string(slots) + R"(,"state":")" + phase
        + R"(","cold_left_ms":0,"models":)" + modelsJson() + R"(,"seq":1,"born":1})";
}

void RegisteredTargetStandIn::setSoftwareVersion(const std::string& version)
{
    std::lock_guard lock(m_mutex);
    m_softwareVersion = version;
}

std::map<std::string, int> RegisteredTargetStandIn::runs()
{
    std::lock_guard lock(m_mutex);
    return m_runCounts;
}

int RegisteredTargetStandIn::runCount(const std::string& requestId)
{
    std::lock_guard lock(m_mutex);
    const auto entry = m_runCounts.find(requestId);
    return entry == m_runCounts.end() ? 0 : entry->second;
}

HeaderFields RegisteredTargetStandIn::lastFields()
{
    std::lock_guard lock(m_mutex);
    return m_lastFields;
}

std::set<std::string> RegisteredTargetStandIn::models()
{
    std::lock_guard lock(m_mutex);
    return m_loadedModels;
}

std::vector<std::pair<std::string, int64_t>> RegisteredTargetStandIn::orders()
{
    std::lock_guard lock(m_mutex);
    return m_acceptedOrders;
}

std::vector<TimePoint> RegisteredTargetStandIn::orderTimes()
{
    std::lock_guard lock(m_mutex);
    return m_orderTimes;
}

void RegisteredTargetStandIn::dropModels()
{
    std::lock_guard lock(m_mutex);
    m_loadedModels.clear();
}

void RegisteredTargetStandIn::setCrashingPart(const std::string& part)
{
    std::lock_guard lock(m_mutex);
    m_crashingPart = part;
}

void RegisteredTargetStandIn::setBrittle(int refusalLimit, Duration runTime)
{
    m_brittleRunTime = runTime;
    m_refusalLimit = refusalLimit;
}

void RegisteredTargetStandIn::runBrittle(
    const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request)
{
    const auto now = monotonicNow();
    const auto id = headerValue(request, "Cyclamenstair-Request-Id");
    const auto limit = m_refusalLimit.load();
    if (now < m_downUntil) {
        connection->abort();
        return;
    }
    if (m_running >= slots) {
        connection->sendResponse(
            { unavailable, {}, { { "Cyclamenstair-Not-Run", "1" }, { "Server-Brittle", std::to_string(limit) } } }, {});
        ++m_roomRefusalCount;
        m_roomRefusals.push_back(now);
        while (now - m_roomRefusals.front() >= std::chrono::seconds(1))
            m_roomRefusals.pop_front();
        if (m_roomRefusals.size() > static_cast<size_t>(limit)) {
            m_downUntil = now + brittleDownTime;
            m_roomRefusals.clear();
            boost::asio::post(m_loop.context(), [this] { crash(); });
        }
        return;
    }
    m_maxRunning = std::max(m_maxRunning.load(), ++m_running);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_loop.context(), m_brittleRunTime.load());
    timer->async_wait([this, timer, connection, id, limit](const boost::system::error_code&) {
        --m_running;
        if (!connection->isOpen())
            return;
        {
            std::lock_guard lock(m_mutex);
            ++m_runCounts[id];
        }
        connection->sendResponse(
            { ok, {},
                { { "Cyclamenstair-Request-Id", id }, { "Cyclamenstair-Response-Stamp", "receipt-" + m_id },
                    { "Server-Brittle", std::to_string(limit) } } },
            m_id);
    });
}

bool RegisteredTargetStandIn::hasCrashingPart(const HttpRequest& request)
{
    std::lock_guard lock(m_mutex);
    return !m_crashingPart.empty()
        && headerValue(request, "Cyclamenstair-Prompt-Prefix").find(m_crashingPart + ":") != std::string::npos;
}

void RegisteredTargetStandIn::crash()
{
    ++m_crashCount;
    for (const auto& entry : std::exchange(m_connections, {})) {
        if (const auto connection = entry.lock())
            connection->abort();
    }
}

void RegisteredTargetStandIn::handle(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request)
{
    std::erase_if(m_connections, [](const auto& entry) { return entry.expired(); });
    const bool isFirstOfConnection = m_connections.insert(connection).second;
    if (request.target == "/cyclamenstair/report") {
        std::lock_guard lock(m_mutex);
        connection->sendResponse({ ok, {}, {} },
            R"({"models":)" + modelsJson() + R"(,"busy":false,"seq":)" + std::to_string(m_acceptedOrders.size())
                + R"(,"queued":0,"running":0,"born":1})");
        return;
    }
    if (const auto expectedInstance = headerValue(request, "Cyclamenstair-Expect-Instance");
        !expectedInstance.empty() && expectedInstance != m_id) {
        connection->sendResponse({ misdirected, {}, { { "Cyclamenstair-Instance-Id", m_id } } }, {});
        return;
    }
    if (request.target == "/cyclamenstair/order")
        handleOrder(connection, request.body);
    else
        run(connection, request, isFirstOfConnection);
}

void RegisteredTargetStandIn::run(
    const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request, bool isFirstOfConnection)
{
    const auto id = headerValue(request, "Cyclamenstair-Request-Id");
    const auto behaviour = m_behaviour.load();
    if (behaviour == TargetBehaviour::AsksForPause) {
        connection->sendResponse(
            { unavailable, {}, { { "Cyclamenstair-Not-Run", "1" }, { "Retry-After", "1.5" } } }, {});
        return;
    }
    if (m_refusalLimit > 0) {
        runBrittle(connection, request);
        return;
    }
    const HttpResponseHead refusal { unavailable, {}, { { "Cyclamenstair-Not-Run", "1" } } };
    if (behaviour == TargetBehaviour::RefuseUnrun) {
        connection->sendResponse(refusal, {});
        return;
    }
    {
        std::lock_guard lock(m_mutex);
        ++m_runCounts[id];
        m_lastFields = request.fields;
    }
    if (behaviour == TargetBehaviour::StaleRefusal && !isFirstOfConnection) {
        connection->sendResponse(refusal, {});
        return;
    }
    const bool isStream = request.target.find("stream") != std::string::npos;
    if (hasCrashingPart(request)) {
        ++m_crashingRequestCount;
        boost::asio::post(m_loop.context(), [this] { crash(); });
        return;
    }
    if (behaviour == TargetBehaviour::NoResponse) {
        connection->setDisconnectHandler([this] { ++m_abandonedRequestCount; });
        return;
    }
    if (behaviour == TargetBehaviour::TruncateResponse && !isStream) {
        connection->abort();
        return;
    }
    if (behaviour == TargetBehaviour::EndlessBody) {
        connection->sendHead(
            { ok, {}, { { "Cyclamenstair-Request-Id", id }, { "Cyclamenstair-Response-Stamp", "receipt-" + m_id } } },
            std::nullopt);
        sendEndlessBody(connection);
        return;
    }
    if (isStream) {
        const auto lastEventId = headerValue(request, "Last-Event-Id");
        stream(connection, request, lastEventId.empty() ? 1 : std::stoi(lastEventId) + 1);
        return;
    }
    const auto responseRequestId = behaviour == TargetBehaviour::WrongRequestId ? "another-request" : id;
    HttpResponseHead head { ok, {},
        { { "Cyclamenstair-Request-Id", responseRequestId }, { "Cyclamenstair-Response-Stamp", "receipt-" + m_id } } };
    if (behaviour == TargetBehaviour::SaysLeaving)
        head.fields.emplace_back("Server-Leaving", "1");
    connection->sendResponse(head, m_id + ":" + request.body);
}

void RegisteredTargetStandIn::sendEndlessBody(const std::shared_ptr<ServerConnection>& connection)
{
    const std::string part(16384, 'x');
    while (connection->isOpen() && !connection->isCongested()) {
        connection->sendData(part);
        m_endlessBodyBytes += part.size();
    }
    connection->setWritableHandler([this, connection] { sendEndlessBody(connection); });
}

void RegisteredTargetStandIn::stream(
    const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request, int firstEvent)
{
    connection->sendHead({ ok, {},
                             { { "Content-Type", "text/event-stream" },
                                 { "Cyclamenstair-Request-Id", headerValue(request, "Cyclamenstair-Request-Id") },
                                 { "Cyclamenstair-Response-Stamp", "receipt-" + m_id } } },
        std::nullopt);
    if (m_behaviour == TargetBehaviour::PacedStream) {
        sendPaced(connection, firstEvent);
        return;
    }
    for (int event = firstEvent; event <= streamEventCount; ++event) {
        const auto text = eventText(event);
        if (m_behaviour == TargetBehaviour::TruncateResponse && event > eventsBeforeTruncation) {
            connection->sendData(text.substr(0, text.size() / 2));
            // Aborts after the pending bytes have been sent.
            boost::asio::post(m_loop.context(), [connection] { connection->abort(); });
            return;
        }
        connection->sendData(text);
    }
    connection->finish();
}

void RegisteredTargetStandIn::sendPaced(const std::shared_ptr<ServerConnection>& connection, int event)
{
    if (!connection->isOpen())
        return;
    if (event > streamEventCount) {
        connection->finish();
        return;
    }
    connection->sendData(eventText(event));
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop.context(), eventPause);
    timer->async_wait([this, connection, event, timer](const boost::system::error_code& ec) {
        if (!ec)
            sendPaced(connection, event + 1);
    });
}

void RegisteredTargetStandIn::handleOrder(const std::shared_ptr<ServerConnection>& connection, const std::string& body)
{
    if (m_rejectsOrders) {
        ++m_rejectedOrderCount;
        connection->sendResponse({ wrongInstance, {}, {} }, {});
        return;
    }
    const auto order = Json::parse(body);
    std::lock_guard lock(m_mutex);
    const auto fencingToken = order.at("fence").get<int64_t>();
    uint32_t status = accepted;
    if (!m_acceptedOrders.empty() && fencingToken < m_acceptedOrders.back().second)
        status = staleFencingToken;
    else if (order.at("expected").get<size_t>() != m_acceptedOrders.size())
        status = conflict;
    if (status == accepted) {
        m_acceptedOrders.emplace_back(order.at("holder").get<std::string>(), fencingToken);
        m_orderTimes.push_back(monotonicNow());
        if (order.at("operation") == "load")
            m_loadedModels.insert(order.at("model").get<std::string>());
        else
            m_loadedModels.erase(order.at("model").get<std::string>());
    }
    connection->sendResponse({ status, {}, {} }, {});
}

std::string RegisteredTargetStandIn::modelsJson()
{
    Json models = Json::array();
    for (const auto& model : m_loadedModels)
        models.push_back({ { "name", model }, { "version", 1 }, { "adapters", Json::array() } });
    return models.dump();
}

} // namespace cyclamenstair

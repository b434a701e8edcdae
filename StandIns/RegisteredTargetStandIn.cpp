#include <StandIns/RegisteredTargetStandIn.h>

#include <StandIns/LoopbackPort.h>

#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr uint32_t ok = 200;
    constexpr uint32_t accepted = 202;
    constexpr uint32_t conflict = 409;
    constexpr uint32_t oldFence = 412;
    constexpr uint32_t otherInstance = 421;
    constexpr uint32_t misdirected = 421;
    constexpr uint32_t unavailable = 503;
    constexpr int streamEvents = 5;
    constexpr int cutAfter = 2;

    std::string field(const HttpRequest& request, std::string_view name)
    {
        return fieldValue(request.fields, name).value_or("");
    }

} // namespace

RegisteredTargetStandIn::RegisteredTargetStandIn(std::string id, std::string service, std::set<std::string> models)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_address(freeLoopbackAddress())
    , m_models(std::move(models))
{
    auto listener = ServerListener::create(
        m_address, { &m_loop }, [] { return ServerConnectionLimits {}; },
        [this](size_t, const std::shared_ptr<ServerConnection>& caller, const HttpRequest& request) {
            handle(caller, request);
        });
    m_listener = std::move(listener).value();
    m_listener->start();
    m_loop.start();
}

RegisteredTargetStandIn::~RegisteredTargetStandIn() { m_loop.stop(); }

std::string RegisteredTargetStandIn::entry(const std::string& phase)
{
    std::lock_guard lock(m_mutex);
    return R"({"service":")" + m_service + R"(","address":")" + m_address
        + R"(","zone":"domain-1","version":"v1","slots":8,"state":")" + phase + R"(","cold_left_ms":0,"models":)"
        + modelsText() + R"(,"seq":1,"born":1})";
}

std::map<std::string, int> RegisteredTargetStandIn::runs()
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

std::set<std::string> RegisteredTargetStandIn::models()
{
    std::lock_guard lock(m_mutex);
    return m_models;
}

std::vector<std::pair<std::string, int64_t>> RegisteredTargetStandIn::orders()
{
    std::lock_guard lock(m_mutex);
    return m_orders;
}

void RegisteredTargetStandIn::handle(const std::shared_ptr<ServerConnection>& caller, const HttpRequest& request)
{
    if (request.target == "/cyclamenstair/report") {
        std::lock_guard lock(m_mutex);
        caller->sendResponse({ ok, {}, {} },
            R"({"models":)" + modelsText() + R"(,"busy":false,"seq":)" + std::to_string(m_orders.size())
                + R"(,"queued":0,"running":0,"born":1})");
        return;
    }
    if (const auto expected = field(request, "Cyclamenstair-Expect-Instance"); !expected.empty() && expected != m_id) {
        caller->sendResponse({ misdirected, {}, { { "Cyclamenstair-Instance-Id", m_id } } }, {});
        return;
    }
    if (request.target == "/cyclamenstair/order")
        takeOrder(caller, request.body);
    else
        run(caller, request);
}

void RegisteredTargetStandIn::run(const std::shared_ptr<ServerConnection>& caller, const HttpRequest& request)
{
    const auto id = field(request, "Cyclamenstair-Request-Id");
    const auto behaviour = m_behaviour.load();
    if (behaviour == TargetBehaviour::Refuse) {
        caller->sendResponse({ unavailable, {}, { { "Cyclamenstair-Not-Run", "1" } } }, {});
        return;
    }
    {
        std::lock_guard lock(m_mutex);
        ++m_runs[id];
    }
    const bool isStream = request.target.find("stream") != std::string::npos;
    if (behaviour == TargetBehaviour::Silent) {
        caller->setDisconnectHandler([this] { ++m_abandoned; });
        return;
    }
    if (behaviour == TargetBehaviour::Cut && !isStream) {
        caller->abort();
        return;
    }
    if (isStream) {
        const auto last = field(request, "Last-Event-Id");
        stream(caller, request, last.empty() ? 1 : std::stoi(last) + 1);
        return;
    }
    const auto named = behaviour == TargetBehaviour::Foreign ? "another-request" : id;
    caller->sendResponse(
        { ok, {}, { { "Cyclamenstair-Request-Id", named }, { "Cyclamenstair-Response-Stamp", "receipt-" + m_id } } },
        m_id + ":" + request.body);
}

void RegisteredTargetStandIn::stream(
    const std::shared_ptr<ServerConnection>& caller, const HttpRequest& request, int from)
{
    caller->sendHead({ ok, {},
                         { { "Content-Type", "text/event-stream" },
                             { "Cyclamenstair-Request-Id", field(request, "Cyclamenstair-Request-Id") },
                             { "Cyclamenstair-Response-Stamp", "receipt-" + m_id } } },
        std::nullopt);
    for (int event = from; event <= streamEvents; ++event) {
        const auto text = "id: " + std::to_string(event) + "\ndata: token\n\n";
        if (m_behaviour == TargetBehaviour::Cut && event > cutAfter) {
            caller->sendData(text.substr(0, text.size() / 2));
            // The bytes so far leave before the connection is closed.
            boost::asio::post(m_loop.context(), [caller] { caller->abort(); });
            return;
        }
        caller->sendData(text);
    }
    caller->finish();
}

void RegisteredTargetStandIn::takeOrder(const std::shared_ptr<ServerConnection>& caller, const std::string& body)
{
    if (m_isRefusingOrders) {
        ++m_refusedOrders;
        caller->sendResponse({ otherInstance, {}, {} }, {});
        return;
    }
    const auto order = Json::parse(body);
    std::lock_guard lock(m_mutex);
    const auto fence = order.at("fence").get<int64_t>();
    uint32_t status = accepted;
    if (!m_orders.empty() && fence < m_orders.back().second)
        status = oldFence;
    else if (order.at("expected").get<size_t>() != m_orders.size())
        status = conflict;
    if (status == accepted) {
        m_orders.emplace_back(order.at("holder").get<std::string>(), fence);
        if (order.at("operation") == "load")
            m_models.insert(order.at("model").get<std::string>());
        else
            m_models.erase(order.at("model").get<std::string>());
    }
    caller->sendResponse({ status, {}, {} }, {});
}

std::string RegisteredTargetStandIn::modelsText()
{
    Json models = Json::array();
    for (const auto& model : m_models)
        models.push_back({ { "name", model }, { "version", 1 }, { "adapters", Json::array() } });
    return models.dump();
}

} // namespace cyclamenstair

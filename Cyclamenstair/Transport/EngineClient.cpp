#include <Cyclamenstair/Transport/EngineClient.h>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr int httpOk = 200;

    httplib::Client makeClient(const std::string& address, Duration timeout)
    {
        httplib::Client client("http://" + address);
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        client.set_write_timeout(timeout);
        client.set_tcp_nodelay(true);
        return client;
    }

    std::string errorMessage(const httplib::Response& response)
    {
        const auto body = Json::parse(response.body, nullptr, false);
        if (body.is_object() && body.contains("error") && body["error"].is_string())
            return body["error"].get<std::string>();
        return "HTTP status " + std::to_string(response.status);
    }

} // namespace

EngineClient::EngineClient(std::string address)
    : m_address(std::move(address))
{
}

OrderOutcome EngineClient::order(const EngineOrder& order, Duration timeout) const
{
    Json parameters { { "epoch", order.epoch }, { "memory_bytes", order.memoryBytes } };
    if (!order.baseModel.empty())
        parameters["base_model"] = order.baseModel;
    const auto path = "/v2/repository/models/" + order.artifact + "/" + std::string(nameOf(order.kind));
    const auto response = makeClient(m_address, timeout)
                              .Post(path.c_str(), Json { { "parameters", parameters } }.dump(), "application/json");
    if (!response) {
        if (response.error() == httplib::Error::Connection)
            return OrderRefused { "connection to the engine failed", false };
        return OrderOutcomeUnknown { httplib::to_string(response.error()) };
    }
    if (response->status == httpOk)
        return OrderExecuted {};
    if (response->status >= 400 && response->status < 500)
        return OrderRefused { errorMessage(*response), true };
    return OrderOutcomeUnknown { errorMessage(*response) };
}

std::optional<TargetReport> EngineClient::report(Duration timeout) const
{
    const auto response = makeClient(m_address, timeout)
                              .Post("/v2/repository/index", Json { { "ready", true } }.dump(), "application/json");
    if (!response || response->status != httpOk)
        return std::nullopt;
    const auto body = Json::parse(response->body, nullptr, false);
    if (!body.is_array())
        return std::nullopt;
    TargetReport report;
    report.instance = response->get_header_value("X-Instance");
    report.acknowledgedEpoch = std::strtoull(response->get_header_value("X-Enforced-Epoch").c_str(), nullptr, 10);
    for (const auto& row : body) {
        if (row.is_object() && row.value("state", "") == "READY")
            report.artifacts.push_back(row.value("name", ""));
    }
    return report;
}

std::optional<bool> EngineClient::isLeaving(Duration timeout) const
{
    const auto response = makeClient(m_address, timeout).Get("/health");
    if (!response || response->status != httpOk)
        return std::nullopt;
    const auto body = Json::parse(response->body, nullptr, false);
    if (!body.is_object() || !body.contains("leaving") || !body["leaving"].is_boolean())
        return std::nullopt;
    return body["leaving"].get<bool>();
}

std::optional<uint64_t> EngineClient::raiseFencingToken(uint64_t epoch, Duration timeout) const
{
    const auto response = makeClient(m_address, timeout)
                              .Post("/v2/repository/epoch", Json { { "parameters", { { "epoch", epoch } } } }.dump(),
                                  "application/json");
    if (!response)
        return std::nullopt;
    // Engines without support for fencing do not have this endpoint.
    if (response->status == 404)
        return 0;
    if (response->status != httpOk)
        return std::nullopt;
    return epoch;
}

} // namespace cyclamenstair

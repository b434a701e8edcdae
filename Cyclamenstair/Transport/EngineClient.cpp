#include <Cyclamenstair/Transport/EngineClient.h>

#include <Cyclamenstair/Http/HttpExchange.h>

#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr uint32_t httpOk = 200;

    HttpOutcome call(const std::string& address, const HttpRequest& request, Duration timeout)
    {
        return HttpExchange(address, { .connectTimeout = timeout, .idleTimeout = timeout }).call(request);
    }

    HttpOutcome postJson(const std::string& address, const std::string& path, const Json& body, Duration timeout)
    {
        return call(address, makeHttpRequest("POST", path, body.dump(), "application/json"), timeout);
    }

    std::string errorMessage(const HttpResponse& response)
    {
        const auto body = Json::parse(response.body, nullptr, false);
        if (body.is_object() && body.contains("error") && body["error"].is_string())
            return body["error"].get<std::string>();
        return "HTTP status " + std::to_string(response.head.status);
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
    const auto outcome = postJson(m_address, path, { { "parameters", parameters } }, timeout);
    if (const auto* failure = std::get_if<CallFailed>(&outcome)) {
        if (!failure->wasSent)
            return OrderRefused { "connection to the engine failed", false };
        return OrderOutcomeUnknown { failure->error.message };
    }
    const auto& response = std::get<HttpResponse>(outcome);
    if (response.head.status == httpOk)
        return OrderExecuted {};
    if (response.head.status >= 400 && response.head.status < 500)
        return OrderRefused { errorMessage(response), true };
    return OrderOutcomeUnknown { errorMessage(response) };
}

std::optional<TargetReport> EngineClient::report(Duration timeout) const
{
    const auto outcome = postJson(m_address, "/v2/repository/index", { { "ready", true } }, timeout);
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (!response || response->head.status != httpOk)
        return std::nullopt;
    const auto body = Json::parse(response->body, nullptr, false);
    if (!body.is_array())
        return std::nullopt;
    TargetReport report;
    const auto& fields = response->head.fields;
    report.instance = fieldValue(fields, "X-Instance").value_or("");
    report.acknowledgedEpoch = std::strtoull(fieldValue(fields, "X-Enforced-Epoch").value_or("").c_str(), nullptr, 10);
    for (const auto& row : body) {
        if (row.is_object() && row.value("state", "") == "READY")
            report.artifacts.push_back(row.value("name", ""));
    }
    return report;
}

std::optional<bool> EngineClient::isLeaving(Duration timeout) const
{
    const auto outcome = call(m_address, makeHttpRequest("GET", "/health"), timeout);
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (!response || response->head.status != httpOk)
        return std::nullopt;
    const auto body = Json::parse(response->body, nullptr, false);
    if (!body.is_object() || !body.contains("leaving") || !body["leaving"].is_boolean())
        return std::nullopt;
    return body["leaving"].get<bool>();
}

std::optional<uint64_t> EngineClient::raiseFencingToken(uint64_t epoch, Duration timeout) const
{
    const auto outcome
        = postJson(m_address, "/v2/repository/epoch", { { "parameters", { { "epoch", epoch } } } }, timeout);
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (!response)
        return std::nullopt;
    // Engines without support for fencing do not have this endpoint.
    if (response->head.status == 404)
        return 0;
    if (response->head.status != httpOk)
        return std::nullopt;
    return epoch;
}

} // namespace cyclamenstair

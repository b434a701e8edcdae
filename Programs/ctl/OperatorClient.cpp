#include <Programs/ctl/OperatorClient.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace cyclamenstair::ctl {

namespace {

    constexpr auto responseTimeout = std::chrono::seconds(30);

} // namespace

OperatorClient::OperatorClient(const std::string& endpoint, const std::string& token)
    : m_endpoint(endpoint)
    , m_token(token)
{
}

OperatorResponse OperatorClient::get(const std::string& path) { return send(makeHttpRequest("GET", path)); }

OperatorResponse OperatorClient::post(const std::string& path, const std::string& body, const std::string& contentType)
{
    return send(makeHttpRequest("POST", path, body, contentType));
}

OperatorResponse OperatorClient::send(HttpRequest request) const
{
    request.fields.emplace_back("Authorization", "Bearer " + m_token);
    HttpExchange exchange(m_endpoint, { .connectTimeout = responseTimeout, .idleTimeout = responseTimeout });
    const auto outcome = exchange.call(request);
    if (const auto* failure = std::get_if<CallFailed>(&outcome))
        return { 0, {}, {}, {}, failure->error.message };
    const auto& response = std::get<HttpResponse>(outcome);
    return { response.head.status, response.body, nlohmann::json::parse(response.body, nullptr, false),
        response.head.fields, {} };
}

ExitStatus reportFailure(const OperatorResponse& response)
{
    if (response.status == 0) {
        std::cerr << "no valid response from the node: " << response.failure << "\n";
        return ExitStatus::Unavailable;
    }
    const auto message = response.body.is_object() ? response.body.value("message", "") : "";
    std::cerr << "the node responded with HTTP status " << response.status << (message.empty() ? "" : ": ") << message
              << "\n";
    return response.status >= 400 && response.status < 500 ? ExitStatus::Refused : ExitStatus::Unavailable;
}

std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw std::runtime_error("cannot open " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace cyclamenstair::ctl

#include <Programs/ctl/OperatorClient.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace cyclamenstair::ctl {

namespace {

    constexpr auto responseTimeout = std::chrono::seconds(30);

} // namespace

OperatorClient::OperatorClient(const std::string& endpoint, const std::string& token)
    : m_client("http://" + endpoint)
    , m_headers { { "Authorization", "Bearer " + token } }
{
    m_client.set_read_timeout(responseTimeout);
}

OperatorResponse OperatorClient::get(const std::string& path)
{
    return toResponse(m_client.Get(path.c_str(), m_headers));
}

OperatorResponse OperatorClient::post(const std::string& path, const std::string& body, const std::string& contentType)
{
    return toResponse(m_client.Post(path.c_str(), m_headers, body, contentType.c_str()));
}

OperatorResponse OperatorClient::toResponse(const httplib::Result& result)
{
    if (!result)
        return {};
    return { result->status, result->body, nlohmann::json::parse(result->body, nullptr, false), result->headers };
}

ExitStatus reportFailure(const OperatorResponse& response)
{
    if (response.status == 0) {
        std::cerr << "no response from the node\n";
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

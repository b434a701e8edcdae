#include <Programs/ctl/OperatorClient.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace cyclamenstair::ctl {

namespace {

    constexpr auto answerLimit = std::chrono::seconds(30);

} // namespace

OperatorClient::OperatorClient(const std::string& endpoint, const std::string& token)
    : m_client("http://" + endpoint)
    , m_headers { { "Authorization", "Bearer " + token } }
{
    m_client.set_read_timeout(answerLimit);
}

OperatorAnswer OperatorClient::get(const std::string& path) { return answerOf(m_client.Get(path.c_str(), m_headers)); }

OperatorAnswer OperatorClient::post(const std::string& path, const std::string& body, const std::string& contentType)
{
    return answerOf(m_client.Post(path.c_str(), m_headers, body, contentType.c_str()));
}

OperatorAnswer OperatorClient::answerOf(const httplib::Result& result)
{
    if (!result)
        return {};
    return { result->status, result->body, nlohmann::json::parse(result->body, nullptr, false), result->headers };
}

ExitStatus reportFailure(const OperatorAnswer& answer)
{
    if (answer.status == 0) {
        std::cerr << "no answer from the node\n";
        return ExitStatus::Unavailable;
    }
    const auto message = answer.body.is_object() ? answer.body.value("message", "") : "";
    std::cerr << "the node answered HTTP " << answer.status << (message.empty() ? "" : ": ") << message << "\n";
    return answer.status >= 400 && answer.status < 500 ? ExitStatus::Refused : ExitStatus::Unavailable;
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

#include <StandIns/StandInServer.h>

#include <thread>

namespace cyclamenstair::standin {

namespace {

    constexpr size_t maxBodyBytes = 64 << 20;

} // namespace

StandInServer::StandInServer(int port, size_t threads)
    : m_listener({ "127.0.0.1", port, threads, maxBodyBytes, "", "" })
{
    http().Post("/faults", [this](const httplib::Request& request, httplib::Response& response) {
        m_faults.set(parseBody(request));
        writeJson(response, { { "ok", true } });
    });
    http().set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
        if (request.path == "/faults")
            return httplib::Server::HandlerResponse::Unhandled;
        if (const double delayMs = m_faults.value("delay_ms"); delayMs > 0)
            std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(delayMs));
        if (m_faults.value("down") > 0) {
            sendTruncatedResponse(response);
            return httplib::Server::HandlerResponse::Handled;
        }
        return httplib::Server::HandlerResponse::Unhandled;
    });
}

void sendTruncatedResponse(httplib::Response& response)
{
    // HTTP clients report a body that is shorter than its Content-Length as an error.
    response.status = 200;
    response.set_content_provider(
        1, "application/octet-stream", [](size_t, size_t, httplib::DataSink&) { return false; });
}

void writeJson(httplib::Response& response, const nlohmann::json& body, int status)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

nlohmann::json parseBody(const httplib::Request& request)
{
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    return body.is_object() ? body : nlohmann::json::object();
}

} // namespace cyclamenstair::standin

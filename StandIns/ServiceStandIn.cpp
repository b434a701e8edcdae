#include <StandIns/ServiceStandIn.h>

namespace cyclamenstair::standin {

namespace {

    constexpr size_t serviceThreads = 96;

} // namespace

ServiceStandIn::ServiceStandIn(int port)
    : m_server(port, serviceThreads)
{
    auto& http = m_server.http();
    http.Get("/log", [this](const httplib::Request&, httplib::Response& response) {
        std::lock_guard lock(m_mutex);
        writeJson(response, { { "runs_by_key", m_runsByKey }, { "request_ids", m_requestIds } });
    });
    const auto handler
        = [this](const httplib::Request& request, httplib::Response& response) { handleRequest(request, response); };
    http.Get("/.*", handler);
    http.Post("/.*", handler);
}

std::map<std::string, int> ServiceStandIn::runsByKey()
{
    std::lock_guard lock(m_mutex);
    return m_runsByKey;
}

void ServiceStandIn::handleRequest(const httplib::Request& request, httplib::Response& response)
{
    const auto key = request.get_header_value("Idempotency-Key");
    int run = 0;
    {
        std::lock_guard lock(m_mutex);
        m_requestIds.push_back(request.get_header_value("X-Request-Id"));
        if (!key.empty())
            run = ++m_runsByKey[key];
    }
    if (const double workMs = m_server.faults().value("work_ms"); workMs > 0)
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(workMs));
    if (m_server.faults().consume("lose_service_answers")) {
        sendTruncatedResponse(response);
        return;
    }
    writeJson(response, { { "confirmed", true }, { "path", request.path }, { "key", key }, { "run", run } });
}

} // namespace cyclamenstair::standin

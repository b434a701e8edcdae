#include <StandIns/PlatformStandIn.h>

#include <algorithm>

namespace cyclamenstair::standin {

namespace {

    constexpr size_t platformThreads = 96;
    constexpr auto deliveryStepDuration = std::chrono::milliseconds(5);

} // namespace

PlatformStandIn::PlatformStandIn(int port, double loadMs, int maxFullSpeedLoads)
    : m_loadMs(loadMs)
    , m_maxFullSpeedLoads(maxFullSpeedLoads)
    , m_server(port, platformThreads)
{
    auto& http = m_server.http();
    http.Get("/vms", [this](const httplib::Request&, httplib::Response& response) {
        std::lock_guard lock(m_mutex);
        writeJson(response, { { "vms", m_vms } });
    });
    http.Put("/vms", [this](const httplib::Request& request, httplib::Response& response) {
        setVms(parseBody(request).value("vms", nlohmann::json::array()));
        writeJson(response, { { "ok", true } });
    });
    http.Get("/weights/(.+)", [this](const httplib::Request&, httplib::Response& response) {
        ++m_loadCount;
        ++m_loadsInProgress;
        // The progress of a step is divided by the ratio of concurrent loads to the full-speed limit.
        double remainingMs = m_loadMs;
        while (remainingMs > 0) {
            std::this_thread::sleep_for(deliveryStepDuration);
            const double slowdown = std::max(1.0, static_cast<double>(m_loadsInProgress) / m_maxFullSpeedLoads);
            remainingMs -= static_cast<double>(deliveryStepDuration.count()) / slowdown;
        }
        --m_loadsInProgress;
        writeJson(response, { { "ok", true } });
    });
    http.Get("/loads", [this](const httplib::Request&, httplib::Response& response) {
        writeJson(response, { { "loads", m_loadCount.load() } });
    });
}

void PlatformStandIn::setVms(nlohmann::json vms)
{
    std::lock_guard lock(m_mutex);
    m_vms = std::move(vms);
}

} // namespace cyclamenstair::standin

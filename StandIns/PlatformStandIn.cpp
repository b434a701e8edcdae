#include <StandIns/PlatformStandIn.h>

#include <algorithm>

namespace cyclamenstair::standin {

namespace {

    constexpr size_t platformThreads = 96;
    constexpr auto deliveryStep = std::chrono::milliseconds(5);

} // namespace

PlatformStandIn::PlatformStandIn(int port, double loadMs, int fullSpeedLoads)
    : m_loadMs(loadMs)
    , m_fullSpeedLoads(fullSpeedLoads)
    , m_server(port, platformThreads)
{
    auto& http = m_server.http();
    http.Get("/vms", [this](const httplib::Request&, httplib::Response& response) {
        std::lock_guard lock(m_mutex);
        writeJson(response, { { "vms", m_vms } });
    });
    http.Put("/vms", [this](const httplib::Request& request, httplib::Response& response) {
        setVms(bodyOf(request).value("vms", nlohmann::json::array()));
        writeJson(response, { { "ok", true } });
    });
    http.Get("/weights/(.+)", [this](const httplib::Request&, httplib::Response& response) {
        ++m_loads;
        ++m_loadsInProgress;
        // Each step delivers a share that shrinks with the number of loads above the full-speed limit.
        double leftMs = m_loadMs;
        while (leftMs > 0) {
            std::this_thread::sleep_for(deliveryStep);
            const double slowdown = std::max(1.0, static_cast<double>(m_loadsInProgress) / m_fullSpeedLoads);
            leftMs -= static_cast<double>(deliveryStep.count()) / slowdown;
        }
        --m_loadsInProgress;
        writeJson(response, { { "ok", true } });
    });
    http.Get("/loads", [this](const httplib::Request&, httplib::Response& response) {
        writeJson(response, { { "loads", m_loads.load() } });
    });
}

void PlatformStandIn::setVms(nlohmann::json vms)
{
    std::lock_guard lock(m_mutex);
    m_vms = std::move(vms);
}

} // namespace cyclamenstair::standin

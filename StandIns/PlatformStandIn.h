#pragma once

#include <StandIns/StandInServer.h>

#include <atomic>

namespace cyclamenstair::standin {

/// VM list and weight store of the platform.
///
/// `GET /vms` and `PUT /vms` read and replace the list. `GET /weights/NAME` answers when the weights of a model have
/// been delivered: up to `full_speed_loads` deliveries take `load_ms` each, more of them take proportionally longer.
class PlatformStandIn {
public:
    PlatformStandIn(int port, double loadMs, int fullSpeedLoads);

    int start() { return m_server.start(); }
    void setVms(nlohmann::json vms);
    Faults& faults() { return m_server.faults(); }

private:
    double m_loadMs;
    int m_fullSpeedLoads;
    std::mutex m_mutex;
    nlohmann::json m_vms = nlohmann::json::array();
    std::atomic<int> m_loadsInProgress { 0 };
    std::atomic<uint64_t> m_loads { 0 };
    StandInServer m_server;
};

} // namespace cyclamenstair::standin

#pragma once

#include <StandIns/StandInServer.h>

#include <atomic>

namespace cyclamenstair::standin {

/// Simulated VM list and weight store of the platform.
///
/// `GET /vms` and `PUT /vms` read and replace the VM list. `GET /weights/NAME` responds once the weights of a model
/// have been delivered. Up to `maxFullSpeedLoads` concurrent deliveries take `loadMs` each; beyond that, each takes
/// proportionally longer.
class PlatformStandIn {
public:
    /// Port 0 lets the system choose.
    PlatformStandIn(int port, double loadMs, int maxFullSpeedLoads);

    int start() { return m_server.start(); }
    void setVms(nlohmann::json vms);
    Faults& faults() { return m_server.faults(); }

private:
    double m_loadMs;
    int m_maxFullSpeedLoads;
    std::mutex m_mutex;
    nlohmann::json m_vms = nlohmann::json::array();
    std::atomic<int> m_loadsInProgress { 0 };
    std::atomic<uint64_t> m_loadCount { 0 };
    StandInServer m_server;
};

} // namespace cyclamenstair::standin

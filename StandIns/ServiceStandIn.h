#pragma once

#include <StandIns/StandInServer.h>

#include <map>
#include <vector>

namespace cyclamenstair::standin {

/// Simulated plain service that records each request it runs. It does not deduplicate retries, so that tests can detect
/// requests that ran twice.
///
/// Faults: `work_ms` (duration of a request), `lose_service_answers` (number of requests that run but whose response is
/// truncated).
class ServiceStandIn {
public:
    /// Port 0 lets the system choose.
    explicit ServiceStandIn(int port = 0);

    int start() { return m_server.start(); }
    Faults& faults() { return m_server.faults(); }

    /// Returns the number of runs by Idempotency-Key.
    std::map<std::string, int> runsByKey();

private:
    void handleRequest(const httplib::Request& request, httplib::Response& response);

    std::mutex m_mutex;
    std::map<std::string, int> m_runsByKey;
    std::vector<std::string> m_requestIds;
    StandInServer m_server;
};

} // namespace cyclamenstair::standin

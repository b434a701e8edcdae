#pragma once

#include <StandIns/StandInServer.h>

#include <map>
#include <vector>

namespace cyclamenstair::standin {

/// Plain service that records each call it runs; it does not recognise repeats, so that checkers see every double run.
///
/// Faults: `work_ms` (time of a call), `lose_service_answers` (calls that run but whose answer is lost).
class ServiceStandIn {
public:
    /// Port 0 lets the system choose.
    explicit ServiceStandIn(int port = 0);

    int start() { return m_server.start(); }
    Faults& faults() { return m_server.faults(); }

    /// Returns how often each Idempotency-Key ran.
    std::map<std::string, int> runsByKey();

private:
    void handleCall(const httplib::Request& request, httplib::Response& response);

    std::mutex m_mutex;
    std::map<std::string, int> m_runsByKey;
    std::vector<std::string> m_requestIds;
    StandInServer m_server;
};

} // namespace cyclamenstair::standin

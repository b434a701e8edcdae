#pragma once

#include <Cyclamenstair/Transport/HttpListener.h>
#include <StandIns/Faults.h>

#include <httplib.h>

#include <string>

namespace cyclamenstair::standin {

/// HTTP server of a stand-in on a loopback address. `POST /faults` sets its faults.
///
/// Faults of every stand-in: `down` (if positive, each request gets a truncated response and is not handled),
/// `delay_ms` (delay before each request is handled).
class StandInServer {
public:
    /// Port 0 lets the system choose.
    StandInServer(int port, size_t threads);

    httplib::Server& http() { return m_listener.http(); }
    Faults& faults() { return m_faults; }

    /// Starts to accept requests and returns the port; throws Exception if the port cannot be bound.
    int start() { return m_listener.start().value(); }
    void stop() { m_listener.stop(); }

private:
    Faults m_faults;
    HttpListener m_listener;
};

/// Sends a truncated response, which clients report as a broken connection.
void sendTruncatedResponse(httplib::Response& response);

/// Writes a JSON response.
void writeJson(httplib::Response& response, const nlohmann::json& body, int status = 200);

/// Returns the request body as a JSON object, or an empty object if it is malformed.
nlohmann::json parseBody(const httplib::Request& request);

} // namespace cyclamenstair::standin

#pragma once

#include <Cyclamenstair/Transport/HttpListener.h>
#include <StandIns/Faults.h>

#include <httplib.h>

#include <string>

namespace cyclamenstair::standin {

/// HTTP server of a stand-in on a loopback address, with `POST /faults`.
///
/// Faults that every stand-in has: `down` (each call is cut off before it has an effect), `delay_ms` (before each
/// call).
class StandInServer {
public:
    /// Port 0 lets the system choose.
    StandInServer(int port, size_t threads);

    httplib::Server& http() { return m_listener.http(); }
    Faults& faults() { return m_faults; }

    /// Starts to accept calls and returns the port; throws Exception if the port cannot be bound.
    int start() { return m_listener.start().value(); }
    void stop() { m_listener.stop(); }

private:
    Faults m_faults;
    HttpListener m_listener;
};

/// Answers so that the caller sees a broken connection in place of an answer.
void loseAnswer(httplib::Response& response);

/// Writes a JSON answer.
void writeJson(httplib::Response& response, const nlohmann::json& body, int status = 200);

/// Returns the body as a JSON object; an empty object if it is malformed.
nlohmann::json bodyOf(const httplib::Request& request);

} // namespace cyclamenstair::standin

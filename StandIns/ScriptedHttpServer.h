#pragma once

#include <Cyclamenstair/Http/EventLoop.h>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Request as a ScriptedHttpServer received it.
struct ScriptedRequest {
    std::string target;
    std::string head; ///< Start line and fields.
    std::string body;

    /// Returns the value of a field, or an empty string. The name is compared as it is written.
    std::string field(const std::string& name) const;
};

/// HTTP server that answers each request with bytes of the test's choice, also with bytes that are not valid HTTP.
/// A connection stays open after an answer unless the answer contains "Connection: close". Thread-safe.
class ScriptedHttpServer {
public:
    /// Returns the bytes of the answer. Runs on the server's thread.
    using Responder = std::function<std::string(const ScriptedRequest&)>;

    explicit ScriptedHttpServer(Responder respond);
    ~ScriptedHttpServer();

    const std::string& address() const { return m_address; }

    /// Returns all requests received so far.
    std::vector<ScriptedRequest> requests();

    /// Returns the number of accepted connections.
    int connectionCount();

private:
    class Session;

    void accept();
    std::string respond(const ScriptedRequest& request);

    Responder m_respond;
    std::mutex m_mutex;
    std::vector<ScriptedRequest> m_requests;
    int m_connections { 0 };
    EventLoop m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
};

} // namespace cyclamenstair

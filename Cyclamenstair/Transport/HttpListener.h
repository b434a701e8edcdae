#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Transport/TlsIdentity.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace httplib {
class Server;
}

namespace cyclamenstair {

/// Settings of an HttpListener.
struct HttpListenerSettings {
    std::string address { "127.0.0.1" };
    int port { 0 }; ///< 0 lets the system choose.
    size_t threads { 8 }; ///< The HTTP library keeps one for each open connection.
    size_t maxBodyBytes { 1 << 20 };
    std::string tlsCertificate; ///< Path of a PEM certificate; empty for plain HTTP.
    std::string tlsKey; ///< Path of its PEM private key.
};

/// HTTP server on a thread of its own. Routes are added to http() before start().
class HttpListener {
public:
    explicit HttpListener(const HttpListenerSettings& settings);
    ~HttpListener();

    httplib::Server& http() { return *m_server; }

    /// Reads the certificate, binds the port and starts to accept connections. Returns the port.
    Result<int> start();

    /// Stops accepting connections and waits for running calls.
    void stop();

    /// Reads the certificate again, for new connections. After an error the present one stays in use.
    std::optional<Error> reloadCertificate();

private:
    HttpListenerSettings m_settings;
    std::unique_ptr<TlsIdentity> m_identity; // Before the server, whose TLS context refers to it.
    SSL_CTX* m_tlsContext { nullptr };
    std::unique_ptr<httplib::Server> m_server;
    int m_socket { -1 }; ///< Listening socket, which the library owns.
    std::thread m_thread;
};

} // namespace cyclamenstair

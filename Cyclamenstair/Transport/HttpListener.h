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
    int port { 0 }; ///< 0 lets the system choose a free port.
    size_t threads { 8 }; ///< Size of the thread pool. Each open connection occupies one thread.
    size_t maxBodyBytes { 1 << 20 };
    std::string tlsCertificate; ///< Path of the PEM certificate; empty for plain HTTP.
    std::string tlsKey; ///< Path of its PEM private key.
};

/// HTTP or HTTPS server with its own threads. Routes must be added to http() before start().
class HttpListener {
public:
    explicit HttpListener(const HttpListenerSettings& settings);
    ~HttpListener();

    httplib::Server& http() { return *m_server; }

    /// Loads the certificate, binds the port and starts to accept connections. Returns the bound port.
    Result<int> start();

    /// Stops accepting connections and waits for running requests.
    void stop();

    /// Reloads the certificate for new connections. After an error the current one stays in use.
    std::optional<Error> reloadCertificate();

private:
    HttpListenerSettings m_settings;
    std::unique_ptr<TlsIdentity> m_identity; // Declared before the server, whose TLS context refers to it.
    SSL_CTX* m_tlsContext { nullptr };
    std::unique_ptr<httplib::Server> m_server;
    int m_socket { -1 }; ///< Listening socket; owned by the library.
    std::thread m_thread;
};

} // namespace cyclamenstair

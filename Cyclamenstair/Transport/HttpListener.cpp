#include <Cyclamenstair/Transport/HttpListener.h>

#include <chrono>
#include <httplib.h>
#include <sys/socket.h>

namespace cyclamenstair {

namespace {

    constexpr int listenBacklog = 1024;
    constexpr auto startPollInterval = std::chrono::milliseconds(1);

} // namespace

HttpListener::HttpListener(const HttpListenerSettings& settings)
    : m_settings(settings)
{
    if (m_settings.tlsCertificate.empty())
        m_server = std::make_unique<httplib::Server>();
    else {
        m_server = std::make_unique<httplib::SSLServer>([this](SSL_CTX& context) {
            m_tlsContext = &context;
            return true;
        });
    }
    m_server->new_task_queue = [threads = settings.threads] { return new httplib::ThreadPool(threads); };
    m_server->set_tcp_nodelay(true);
    // By default the library also sets SO_REUSEPORT, with which two processes can bind the same port without an error.
    m_server->set_socket_options([this](socket_t socket) {
        m_socket = socket;
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
    m_server->set_payload_max_length(settings.maxBodyBytes);
}

HttpListener::~HttpListener() { stop(); }

Result<int> HttpListener::start()
{
    if (m_tlsContext) {
        auto identity = TlsIdentity::create(m_settings.tlsCertificate, m_settings.tlsKey);
        if (!identity)
            return identity.error();
        m_identity = std::move(identity).value();
        m_identity->attachTo(*m_tlsContext);
    }
    int port = m_settings.port;
    if (port == 0)
        port = m_server->bind_to_any_port(m_settings.address.c_str());
    else if (!m_server->bind_to_port(m_settings.address.c_str(), port))
        port = -1;
    if (port < 0)
        return Error { ErrorKind::Unavailable, "http.bind", m_settings.address + ":" + std::to_string(m_settings.port),
            "cannot bind the address and port" };
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    // The library ignores a stop() before its accept loop runs, so that joining the thread would block forever. It
    // offers no event for the start of the loop, hence the polling.
    while (!m_server->is_running())
        std::this_thread::sleep_for(startPollInterval);
    // The library is built with a backlog of 5, with which connections of a burst are reset. Another call of listen()
    // replaces the backlog.
    ::listen(m_socket, listenBacklog);
    return port;
}

void HttpListener::stop()
{
    m_server->stop();
    if (m_thread.joinable())
        m_thread.join();
}

std::optional<Error> HttpListener::reloadCertificate() { return m_identity ? m_identity->reload() : std::nullopt; }

} // namespace cyclamenstair

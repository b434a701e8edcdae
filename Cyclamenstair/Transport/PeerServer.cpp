#include <Cyclamenstair/Transport/PeerServer.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace cyclamenstair {

namespace {

    constexpr int listenBacklog = 128;
    constexpr int stopCheckIntervalMs = 100;
    /// Delay before the next accept after a failure, for example for lack of file descriptors.
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

Result<std::unique_ptr<PeerServer>> PeerServer::create(const PeerServerSettings& settings, Handler handler)
{
    const auto failure = [&](const char* step) {
        return Error { ErrorKind::Unavailable, step, settings.address + ":" + std::to_string(settings.port),
            std::strerror(errno) };
    };
    SocketHandle listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (listener.descriptor() < 0)
        return failure("peer.socket");
    const int enabled = 1;
    setsockopt(listener.descriptor(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(settings.port));
    if (inet_pton(AF_INET, settings.address.c_str(), &address.sin_addr) != 1)
        return Error { ErrorKind::InvalidInput, "peer.address", settings.address, "expected an IPv4 address" };
    if (::bind(listener.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        return failure("peer.bind");
    if (::listen(listener.descriptor(), listenBacklog) != 0)
        return failure("peer.listen");
    socklen_t size = sizeof(address);
    getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
    return std::unique_ptr<PeerServer>(
        new PeerServer(settings, std::move(handler), std::move(listener), ntohs(address.sin_port)));
}

PeerServer::PeerServer(const PeerServerSettings& settings, Handler handler, SocketHandle listener, int port)
    : m_settings(settings)
    , m_handler(std::move(handler))
    , m_listener(std::move(listener))
    , m_port(port)
{
    try {
        m_threads.emplace_back([this] { acceptConnections(); });
        for (size_t i = 0; i < m_settings.threads; ++i)
            m_threads.emplace_back([this] { serveConnections(); });
    } catch (...) {
        // The destructor does not run, and that of a thread that is not joined ends the process.
        stop();
        throw;
    }
}

PeerServer::~PeerServer() { stop(); }

void PeerServer::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_connectionPending.notify_all();
    for (auto& thread : m_threads)
        thread.join();
}

void PeerServer::acceptConnections()
{
    while (!m_isStopping) {
        pollfd entry { m_listener.descriptor(), POLLIN, 0 };
        if (::poll(&entry, 1, stopCheckIntervalMs) <= 0)
            continue;
        SocketHandle connection(::accept4(m_listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
        if (connection.descriptor() < 0) {
            // The connection stays in the queue, so that poll() returns at once.
            logEvent(LogSeverity::Warning, "peer_accept_failed", { { "message", std::strerror(errno) } });
            std::this_thread::sleep_for(acceptRetryDelay);
            continue;
        }
        std::lock_guard lock(m_mutex);
        if (m_pendingConnections.size() < m_settings.maxPendingConnections) {
            m_pendingConnections.push_back(std::move(connection));
            m_connectionPending.notify_one();
        }
    }
}

void PeerServer::serveConnections()
{
    for (;;) {
        SocketHandle handle;
        {
            std::unique_lock lock(m_mutex);
            m_connectionPending.wait(lock, [this] { return m_isStopping || !m_pendingConnections.empty(); });
            if (m_isStopping)
                return;
            handle = std::move(m_pendingConnections.front());
            m_pendingConnections.pop_front();
        }
        serve(std::move(handle));
    }
}

void PeerServer::serve(SocketHandle handle)
{
    auto socket = FrameSocket::accept(std::move(handle), m_settings.node, m_settings.fleetKey, m_settings.timeout);
    if (!socket) {
        logError(LogSeverity::Warning, "peer_refused", socket.error());
        return;
    }
    try {
        while (!m_isStopping) {
            const auto request = socket.value().receive();
            socket.value().send(m_handler(request, socket.value().peerNode()));
        }
    } catch (const Exception& exception) {
        // A peer ends an exchange by closing the connection, so this is no error in most cases.
        logError(LogSeverity::Debug, "peer_connection_ended", exception.error());
    }
}

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Transport/FrameSocket.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cyclamenstair {

/// Settings of a PeerServer.
struct PeerServerSettings {
    std::string address { "127.0.0.1" };
    int port { 0 }; ///< 0 lets the system choose a free port.
    std::string node; ///< Id of this node.
    std::string fleetKey;
    Duration timeout { milliseconds(1000) }; ///< Maximum time to send a frame or to receive a part of one.
    size_t threads { 4 };
    size_t maxPendingConnections { 64 }; ///< Accepted connections that may wait for a thread; further ones are closed.
};

/// Accepts connections of other nodes and passes their requests to a handler, on a fixed number of threads.
class PeerServer {
public:
    /// Returns the response to a request of the node `peer`. Called from several threads.
    using Handler = std::function<PeerMessage(const PeerMessage& request, const std::string& peer)>;

    /// Binds the port and starts the threads.
    static Result<std::unique_ptr<PeerServer>> create(const PeerServerSettings& settings, Handler handler);
    /// Stops accepting connections and joins the threads.
    ~PeerServer();

    int port() const { return m_port; }

private:
    PeerServer(const PeerServerSettings& settings, Handler handler, SocketHandle listener, int port);

    void stop();
    void acceptConnections();
    void serveConnections();
    void serve(SocketHandle handle);

    PeerServerSettings m_settings;
    Handler m_handler;
    SocketHandle m_listener;
    int m_port;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::condition_variable m_connectionPending;
    std::deque<SocketHandle> m_pendingConnections;
    std::vector<std::thread> m_threads;
};

} // namespace cyclamenstair

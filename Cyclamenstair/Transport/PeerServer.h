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
    int port { 0 }; ///< 0 lets the system choose.
    std::string node; ///< Id of this node.
    std::string fleetKey;
    Duration timeout { milliseconds(1000) }; ///< Longest silence of a peer within an exchange.
    size_t threads { 4 };
    size_t maxWaiting { 64 }; ///< Accepted connections that may wait for a thread; more are closed.
};

/// Accepts connections of other nodes and answers their requests.
class PeerServer {
public:
    /// Returns the answer to a request of the node `peer`.
    using Handler = std::function<PeerMessage(const PeerMessage& request, const std::string& peer)>;

    static Result<std::unique_ptr<PeerServer>> create(const PeerServerSettings& settings, Handler handler);
    ~PeerServer();

    int port() const { return m_port; }

private:
    PeerServer(const PeerServerSettings& settings, Handler handler, SocketHandle listener, int port);

    void acceptConnections();
    void serveConnections();
    void serve(SocketHandle handle);

    PeerServerSettings m_settings;
    Handler m_handler;
    SocketHandle m_listener;
    int m_port;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::condition_variable m_hasWaiting;
    std::deque<SocketHandle> m_waiting;
    std::vector<std::thread> m_threads;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Http/EventLoop.h>
#include <Cyclamenstair/Http/ServerConnection.h>
#include <Cyclamenstair/Http/TcpAcceptor.h>

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace cyclamenstair {

/// Accepts callers' connections on one event loop and distributes them round-robin over all loops.
class ServerListener {
public:
    using LimitsSource = std::function<ServerConnectionLimits()>;
    /// Called for each request, on the thread of the loop that owns the connection; `loop` is its index.
    using RequestHandler = std::function<void(size_t loop, const std::shared_ptr<ServerConnection>&, HttpRequest)>;

    /// Binds the address; the first loop accepts connections. Returns an error if the address is malformed or cannot be
    /// bound. Connections are refused until listen().
    static Result<std::unique_ptr<ServerListener>> create(
        const std::string& address, std::vector<EventLoop*> loops, LimitsSource limits, RequestHandler handler);

    /// Queues connections until start(). Returns an error if another process listens at the address.
    std::optional<Error> listen() { return m_acceptor->listen(); }

    /// Starts accepting connections.
    void start();

    /// Closes each connection after its current or next response, asynchronously on its loop. New connections are
    /// treated the same way.
    void drainConnections();

private:
    /// Connections of one loop, accessed on its thread only.
    using Connections = std::vector<std::weak_ptr<ServerConnection>>;

    ServerListener(std::unique_ptr<TcpAcceptor> acceptor, std::vector<EventLoop*> loops, LimitsSource limits,
        RequestHandler handler);
    /// Selects the loop of the next connection.
    EventLoop& nextLoop();
    /// Passes an accepted connection to its loop.
    void dispatch(boost::asio::ip::tcp::socket socket);
    void addConnection(size_t loop, boost::asio::ip::tcp::socket socket);

    std::unique_ptr<TcpAcceptor> m_acceptor;
    std::vector<EventLoop*> m_loops;
    LimitsSource m_limitsSource;
    RequestHandler m_handler;
    std::vector<Connections> m_connections;
    size_t m_currentLoop { 0 }; ///< Of the next connection.
    std::atomic<bool> m_isDraining { false };
};

} // namespace cyclamenstair

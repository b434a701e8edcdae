#pragma once

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Http/EventLoop.h>
#include <Cyclamenstair/Http/ServerConnection.h>

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace cyclamenstair {

/// Accepts callers' connections on one event loop and hands them out to several in turn.
class ServerListener {
public:
    using LimitsSource = std::function<ServerConnectionLimits()>;
    /// Called with the index of the loop that owns the connection.
    using RequestHandler = std::function<void(size_t loop, const std::shared_ptr<ServerConnection>&, HttpRequest)>;

    /// Binds the address. The first loop accepts. Returns an error if the address cannot be bound.
    static Result<std::unique_ptr<ServerListener>> create(
        const std::string& address, std::vector<EventLoop*> loops, LimitsSource limits, RequestHandler handler);

    /// Begins to accept.
    void start();

    /// Makes each connection's present or next answer its last. Posts to the loops.
    void closeConnections();

private:
    /// Connections of one loop, touched on its thread only.
    using Connections = std::vector<std::weak_ptr<ServerConnection>>;

    ServerListener(boost::asio::ip::tcp::acceptor acceptor, std::vector<EventLoop*> loops, LimitsSource limits,
        RequestHandler handler);
    void accept();
    void adopt(size_t loop, boost::asio::ip::tcp::socket socket);

    /// Time before the next attempt after accept() failed, for example for lack of descriptors.
    static constexpr Duration retryDelay = milliseconds(50);

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    std::vector<EventLoop*> m_loops;
    LimitsSource m_limits;
    RequestHandler m_handler;
    std::vector<Connections> m_connections;
    size_t m_next { 0 };
    std::atomic<bool> m_isClosing { false };
};

} // namespace cyclamenstair

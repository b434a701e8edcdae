#pragma once

#include <utility>

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Http/ServerConnection.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace cyclamenstair {

/// Callers' connections of a simulated target: a limited number, which can be reset. Belongs to one event loop, except
/// for construction and the first listen(), which may precede its start.
class SimulatedConnections {
public:
    SimulatedConnections(boost::asio::io_context& context, std::string address, size_t maxConnections,
        ServerConnection::RequestHandler handler);
    SimulatedConnections(const SimulatedConnections&) = delete;
    SimulatedConnections& operator=(const SimulatedConnections&) = delete;

    const std::string& address() const { return m_address; }
    /// Returns the largest number of connections that were open at a time.
    size_t maxOpen() const { return m_maxOpen; }

    /// Binds the address and accepts connections. Returns an error if the address cannot be bound.
    std::optional<Error> listen();
    /// Resets all connections and releases the address.
    void close();
    /// Returns the open connections.
    std::vector<std::shared_ptr<ServerConnection>> open() const;
    /// Resets the connection at once.
    void reset(const std::shared_ptr<ServerConnection>& connection) const;
    /// Resets the connection once its output has been written.
    void resetAfterOutput(const std::shared_ptr<ServerConnection>& connection) const;

private:
    struct Peer {
        std::weak_ptr<ServerConnection> connection;
        int descriptor { -1 }; ///< Valid while the connection is open.
    };

    void accept();
    void add(boost::asio::ip::tcp::socket socket);
    static bool isOpen(const Peer& peer);
    static void reset(const Peer& peer);
    /// Returns the connection's entry; one without a connection if there is none.
    Peer find(const std::shared_ptr<ServerConnection>& connection) const;

    /// Delay before the next accept after a failure, for example for lack of file descriptors.
    static constexpr Duration retryDelay = milliseconds(50);

    const std::string m_address;
    const size_t m_maxConnections;
    const ServerConnection::RequestHandler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    std::vector<Peer> m_peers;
    size_t m_maxOpen { 0 };
};

} // namespace cyclamenstair

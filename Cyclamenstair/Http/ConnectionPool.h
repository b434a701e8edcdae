#pragma once

#include <Cyclamenstair/Http/ClientConnection.h>

#include <map>
#include <vector>

namespace cyclamenstair {

/// Pool of idle connections by server, which saves requests the TCP handshake. Belongs to one event loop.
class ConnectionPool {
public:
    ConnectionPool(boost::asio::io_context& context, ClientConnectionSettings settings)
        : m_context(&context)
        , m_settings(settings)
    {
    }

    /// Returns the most recently used idle connection to the server, or a new one.
    std::shared_ptr<ClientConnection> acquire(const boost::asio::ip::tcp::endpoint& server, TimePoint now);

    /// Returns a connection to the pool after a complete response, or closes it if it cannot be reused or kept.
    void release(const std::shared_ptr<ClientConnection>& connection, TimePoint now) noexcept;

private:
    void keep(const std::shared_ptr<ClientConnection>& connection, TimePoint now);

    /// Maximum idle connections per server; more are rarely reused before they time out.
    static constexpr size_t maxIdlePerServer = 16;

    boost::asio::io_context* m_context;
    ClientConnectionSettings m_settings;
    std::map<boost::asio::ip::tcp::endpoint, std::vector<std::shared_ptr<ClientConnection>>> m_idle;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Http/ClientConnection.h>

#include <map>
#include <vector>

namespace cyclamenstair {

/// Idle connections of one event loop by server, so that requests need no handshake.
class ConnectionPool {
public:
    ConnectionPool(boost::asio::io_context& context, ClientConnectionSettings settings)
        : m_context(&context)
        , m_settings(settings)
    {
    }

    /// Returns an idle connection to the server, the one used last, or a new one.
    std::shared_ptr<ClientConnection> take(const boost::asio::ip::tcp::endpoint& server, TimePoint now);

    /// Keeps a connection after a complete answer, or closes it if it cannot be used again.
    void giveBack(std::shared_ptr<ClientConnection> connection, TimePoint now);

private:
    /// Idle connections kept for one server; more are rarely used again before they lapse.
    static constexpr size_t maxIdlePerServer = 16;

    boost::asio::io_context* m_context;
    ClientConnectionSettings m_settings;
    std::map<boost::asio::ip::tcp::endpoint, std::vector<std::shared_ptr<ClientConnection>>> m_idle;
};

} // namespace cyclamenstair

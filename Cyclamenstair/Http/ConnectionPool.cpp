#include <Cyclamenstair/Http/ConnectionPool.h>

namespace cyclamenstair {

std::shared_ptr<ClientConnection> ConnectionPool::acquire(const boost::asio::ip::tcp::endpoint& server, TimePoint now)
{
    auto& idle = m_idle[server];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isReusable(now))
            return connection;
        connection->close();
    }
    return std::make_shared<ClientConnection>(*m_context, server, m_settings);
}

void ConnectionPool::release(std::shared_ptr<ClientConnection> connection, TimePoint now)
{
    auto& idle = m_idle[connection->server()];
    // The front holds the oldest connections, which expire first.
    while (!idle.empty() && !idle.front()->isReusable(now)) {
        idle.front()->close();
        idle.erase(idle.begin());
    }
    if (connection->isReusable(now) && idle.size() < maxIdlePerServer)
        idle.push_back(std::move(connection));
    else
        connection->close();
}

} // namespace cyclamenstair

#include <Cyclamenstair/Http/ConnectionPool.h>

#include <Cyclamenstair/Telemetry/FailureGuard.h>

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

void ConnectionPool::release(const std::shared_ptr<ClientConnection>& connection, TimePoint now) noexcept
{
    runGuarded([&] {
        const FailureGuard guard([&] { connection->close(); });
        keep(connection, now);
    });
}

void ConnectionPool::keep(const std::shared_ptr<ClientConnection>& connection, TimePoint now)
{
    auto& idle = m_idle[connection->server()];
    // The front holds the oldest connections, which expire first.
    while (!idle.empty() && !idle.front()->isReusable(now)) {
        idle.front()->close();
        idle.erase(idle.begin());
    }
    if (connection->isReusable(now) && idle.size() < maxIdlePerServer)
        idle.push_back(connection);
    else
        connection->close();
}

} // namespace cyclamenstair

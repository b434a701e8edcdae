#include <StandIns/SimulatedConnections.h>

#include <Cyclamenstair/Http/Endpoint.h>

#include <sys/socket.h>

#include <algorithm>

namespace cyclamenstair {

using boost::asio::ip::tcp;

SimulatedConnections::SimulatedConnections(boost::asio::io_context& context, std::string address, size_t maxConnections,
    ServerConnection::RequestHandler handler)
    : m_address(std::move(address))
    , m_maxConnections(maxConnections)
    , m_handler(std::move(handler))
    , m_acceptor(context)
    , m_retryTimer(context)
{
}

std::optional<Error> SimulatedConnections::listen()
{
    const auto endpoint = parseEndpoint(m_address);
    if (!endpoint)
        return endpoint.error();
    boost::system::error_code ec;
    m_acceptor.open(endpoint.value().protocol(), ec);
    if (!ec)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint.value(), ec);
    if (!ec)
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec) {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        return Error { ErrorKind::Unavailable, "target.listen", m_address, ec.message() };
    }
    accept();
    return std::nullopt;
}

void SimulatedConnections::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_retryTimer.cancel();
    for (const auto& peer : std::exchange(m_peers, {}))
        reset(peer);
}

std::vector<std::shared_ptr<ServerConnection>> SimulatedConnections::open() const
{
    std::vector<std::shared_ptr<ServerConnection>> connections;
    for (const auto& peer : m_peers) {
        if (isOpen(peer))
            connections.push_back(peer.connection.lock());
    }
    return connections;
}

void SimulatedConnections::reset(const std::shared_ptr<ServerConnection>& connection) const { reset(find(connection)); }

void SimulatedConnections::resetAfterOutput(const std::shared_ptr<ServerConnection>& connection) const
{
    if (connection->hasQueuedOutput())
        connection->setWritableHandler([peer = find(connection)] { reset(peer); });
    else
        reset(connection);
}

void SimulatedConnections::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
        // A closed acceptor may be open again by now, with a handler of its own.
        if (ec == boost::asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!ec) {
            accept();
            add(std::move(socket));
            return;
        }
        m_retryTimer.expires_after(retryDelay);
        m_retryTimer.async_wait([this](const boost::system::error_code& timerError) {
            if (!timerError && m_acceptor.is_open())
                accept();
        });
    });
}

void SimulatedConnections::add(tcp::socket socket)
{
    std::erase_if(m_peers, [](const Peer& peer) { return !isOpen(peer); });
    if (m_peers.size() >= m_maxConnections) {
        boost::system::error_code ignored;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        return;
    }
    const int descriptor = socket.native_handle();
    const auto connection = std::make_shared<ServerConnection>(std::move(socket), ServerConnectionLimits {}, m_handler);
    m_peers.push_back({ connection, descriptor });
    m_maxOpen = std::max(m_maxOpen, m_peers.size());
    connection->start();
}

bool SimulatedConnections::isOpen(const Peer& peer)
{
    const auto connection = peer.connection.lock();
    return connection && connection->isOpen();
}

void SimulatedConnections::reset(const Peer& peer)
{
    const auto connection = peer.connection.lock();
    if (!connection || !connection->isOpen())
        return;
    const linger immediately { 1, 0 };
    ::setsockopt(peer.descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    connection->abort();
}

SimulatedConnections::Peer SimulatedConnections::find(const std::shared_ptr<ServerConnection>& connection) const
{
    const auto peer
        = std::ranges::find_if(m_peers, [&](const Peer& other) { return other.connection.lock() == connection; });
    return peer == m_peers.end() ? Peer {} : *peer;
}

} // namespace cyclamenstair

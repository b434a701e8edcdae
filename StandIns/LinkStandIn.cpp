#include <StandIns/LinkStandIn.h>

#include <StandIns/LoopbackPort.h>

#include <Cyclamenstair/Http/Endpoint.h>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <future>

namespace cyclamenstair {

namespace {

    namespace asio = boost::asio;
    using boost::system::error_code;

    constexpr size_t nodeSide = 0;
    constexpr size_t targetSide = 1;
    /// One connection fills the queue of a socket that listens with a backlog of 0. The second one takes the place of a
    /// connection that was about to be accepted.
    constexpr size_t queueFillerCount = 2;

    /// Closes a socket so that its peer sees a reset.
    void abortSocket(asio::ip::tcp::socket& socket)
    {
        error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

} // namespace

LinkStandIn::Connection::Connection(Socket acceptedSocket)
    : sockets { std::move(acceptedSocket), Socket(acceptedSocket.get_executor()) }
{
}

LinkStandIn::LinkStandIn(const std::string& targetAddress, std::unique_ptr<EventLoop> ownLoop, EventLoop* sharedLoop)
    : m_target(parseEndpoint(targetAddress).value())
    , m_address(allocateLoopbackAddress())
    , m_ownLoop(std::move(ownLoop))
    , m_loop(sharedLoop ? sharedLoop : m_ownLoop.get())
    , m_acceptor(m_loop->context())
{
    listen();
    m_loop->post([this] { accept(); });
    if (m_ownLoop)
        m_ownLoop->start();
}

LinkStandIn::LinkStandIn(const std::string& targetAddress, EventLoop& sharedLoop)
    : LinkStandIn(targetAddress, nullptr, &sharedLoop)
{
}

LinkStandIn::LinkStandIn(const std::string& targetAddress)
    : LinkStandIn(targetAddress, std::make_unique<EventLoop>(), nullptr)
{
}

LinkStandIn::~LinkStandIn()
{
    if (m_ownLoop)
        m_ownLoop->stop();
}

void LinkStandIn::setMode(LinkMode mode)
{
    std::promise<void> applied;
    m_loop->post([&] {
        apply(mode);
        applied.set_value();
    });
    applied.get_future().wait();
}

void LinkStandIn::apply(LinkMode mode)
{
    if (mode == m_mode)
        return;
    m_mode = mode;
    m_queueFillers.clear();
    error_code ignored;
    if (mode == LinkMode::Pass || mode == LinkMode::Hang)
        listen();
    else
        m_acceptor.close(ignored);
    if (mode == LinkMode::Hang) {
        m_acceptor.cancel(ignored);
        fillAcceptQueue();
        return;
    }
    const auto connections = m_connections;
    for (const auto& connection : connections) {
        if (mode == LinkMode::Reset) {
            reset(connection);
            continue;
        }
        const auto& sent = connection->directions[nodeSide].held;
        if (sent && monotonicNow() - sent->at > maxHeldTime) {
            reset(connection);
            continue;
        }
        for (const auto from : { nodeSide, targetSide }) {
            if (const auto held = std::exchange(connection->directions[from].held, std::nullopt))
                forward(connection, from, held->ec, held->size);
        }
    }
    accept();
}

void LinkStandIn::listen()
{
    if (!m_acceptor.is_open()) {
        const auto endpoint = parseEndpoint(m_address).value();
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
    }
    m_acceptor.listen(m_mode == LinkMode::Hang ? 0 : asio::socket_base::max_listen_connections);
}

void LinkStandIn::accept()
{
    if (m_isAccepting || !m_acceptor.is_open())
        return;
    m_isAccepting = true;
    m_acceptor.async_accept([this](const error_code& ec, Socket accepted) {
        m_isAccepting = false;
        if (!ec)
            open(std::move(accepted));
        if (m_mode == LinkMode::Pass)
            accept();
    });
}

void LinkStandIn::fillAcceptQueue()
{
    m_queueFillers.reserve(queueFillerCount);
    while (m_queueFillers.size() < queueFillerCount) {
        // The system sends the attempt at once; one that the full queue drops remains pending.
        m_queueFillers.emplace_back(m_loop->context())
            .async_connect(parseEndpoint(m_address).value(), [](const error_code&) {});
    }
}

void LinkStandIn::open(Socket accepted)
{
    const auto connection = std::make_shared<Connection>(std::move(accepted));
    const bool isCut = m_mode == LinkMode::Reset || m_mode == LinkMode::Refuse;
    if (isCut || m_connections.size() >= maxConnections) {
        reset(connection);
        return;
    }
    m_connections.push_back(connection);
    connection->sockets[targetSide].async_connect(m_target, [this, connection](const error_code& ec) {
        if (ec) {
            reset(connection);
            return;
        }
        for (auto& socket : connection->sockets) {
            error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        }
        read(connection, nodeSide);
        read(connection, targetSide);
    });
}

void LinkStandIn::read(const ConnectionPointer& connection, size_t from)
{
    connection->sockets[from].async_read_some(
        asio::buffer(connection->directions[from].buffer), [this, connection, from](const error_code& ec, size_t size) {
            if (m_mode == LinkMode::Hang)
                connection->directions[from].held = { ec, size, monotonicNow() };
            else
                forward(connection, from, ec, size);
        });
}

void LinkStandIn::forward(const ConnectionPointer& connection, size_t from, const error_code& ec, size_t size)
{
    auto& peer = connection->sockets[1 - from];
    if (ec == asio::error::eof) {
        error_code ignored;
        peer.shutdown(Socket::shutdown_send, ignored);
        connection->directions[from].hasEnded = true;
        if (connection->directions[1 - from].hasEnded)
            std::erase(m_connections, connection);
        return;
    }
    if (ec) {
        reset(connection);
        return;
    }
    asio::async_write(peer, asio::buffer(connection->directions[from].buffer, size),
        [this, connection, from](const error_code& writeError, size_t) {
            if (writeError)
                reset(connection);
            else
                read(connection, from);
        });
}

void LinkStandIn::reset(const ConnectionPointer& connection)
{
    for (auto& socket : connection->sockets)
        abortSocket(socket);
    std::erase(m_connections, connection);
}

} // namespace cyclamenstair

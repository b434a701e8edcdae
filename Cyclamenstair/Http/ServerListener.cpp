#include <Cyclamenstair/Http/ServerListener.h>

namespace cyclamenstair {

using boost::asio::ip::tcp;

Result<std::unique_ptr<ServerListener>> ServerListener::create(
    const std::string& address, std::vector<EventLoop*> loops, LimitsSource limits, RequestHandler handler)
{
    auto acceptor = TcpAcceptor::create(loops.front()->context(), address, "http.listen");
    if (!acceptor)
        return acceptor.error();
    return std::unique_ptr<ServerListener>(
        new ServerListener(std::move(acceptor).value(), std::move(loops), std::move(limits), std::move(handler)));
}

ServerListener::ServerListener(
    std::unique_ptr<TcpAcceptor> acceptor, std::vector<EventLoop*> loops, LimitsSource limits, RequestHandler handler)
    : m_acceptor(std::move(acceptor))
    , m_loops(std::move(loops))
    , m_limitsSource(std::move(limits))
    , m_handler(std::move(handler))
    , m_connections(m_loops.size())
{
}

void ServerListener::start()
{
    m_loops.front()->post([this] {
        m_acceptor->start([this]() -> boost::asio::io_context& { return nextLoop().context(); },
            [this](tcp::socket socket) { dispatch(std::move(socket)); });
    });
}

void ServerListener::drainConnections()
{
    for (size_t loop = 0; loop < m_loops.size(); ++loop) {
        m_loops[loop]->post([this, loop] {
            m_isDraining = true;
            for (const auto& connection : m_connections[loop]) {
                if (const auto open = connection.lock())
                    open->closeAfterResponse();
            }
        });
    }
}

EventLoop& ServerListener::nextLoop()
{
    m_currentLoop = (m_currentLoop + 1) % m_loops.size();
    return *m_loops[m_currentLoop];
}

void ServerListener::dispatch(tcp::socket socket)
{
    const auto* const context = &socket.get_executor().context();
    size_t loop = 0;
    while (&m_loops[loop]->context() != context)
        ++loop;
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    m_loops[loop]->post([this, loop, shared] { addConnection(loop, std::move(*shared)); });
}

void ServerListener::addConnection(size_t loop, tcp::socket socket)
{
    auto& connections = m_connections[loop];
    std::erase_if(connections, [](const auto& connection) { return connection.expired(); });
    auto connection = std::make_shared<ServerConnection>(std::move(socket), m_limitsSource(),
        [this, loop](const std::shared_ptr<ServerConnection>& sender, HttpRequest request) {
            m_handler(loop, sender, std::move(request));
        });
    connections.push_back(connection);
    connection->start();
    if (m_isDraining)
        connection->closeAfterResponse();
}

} // namespace cyclamenstair

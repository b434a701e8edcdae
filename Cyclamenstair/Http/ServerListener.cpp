#include <Cyclamenstair/Http/ServerListener.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

using boost::asio::ip::tcp;

Result<std::unique_ptr<ServerListener>> ServerListener::create(
    const std::string& address, std::vector<EventLoop*> loops, LimitsSource limits, RequestHandler handler)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint.error();
    boost::system::error_code ec;
    tcp::acceptor acceptor(loops.front()->context());
    acceptor.open(endpoint.value().protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint.value(), ec);
    if (!ec)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec)
        return Error { ErrorKind::Unavailable, "http.listen", address, ec.message() };
    return std::unique_ptr<ServerListener>(
        new ServerListener(std::move(acceptor), std::move(loops), std::move(limits), std::move(handler)));
}

ServerListener::ServerListener(
    tcp::acceptor acceptor, std::vector<EventLoop*> loops, LimitsSource limits, RequestHandler handler)
    : m_acceptor(std::move(acceptor))
    , m_retryTimer(m_acceptor.get_executor())
    , m_loops(std::move(loops))
    , m_limitsSource(std::move(limits))
    , m_handler(std::move(handler))
    , m_connections(m_loops.size())
{
}

void ServerListener::start()
{
    m_loops.front()->post([this] { accept(); });
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

void ServerListener::accept()
{
    const size_t loop = m_nextLoop++ % m_loops.size();
    m_acceptor.async_accept(
        m_loops[loop]->context(), [this, loop](const boost::system::error_code& ec, tcp::socket socket) {
            if (!m_acceptor.is_open())
                return;
            if (!ec) {
                auto shared = std::make_shared<tcp::socket>(std::move(socket));
                m_loops[loop]->post([this, loop, shared] { addConnection(loop, std::move(*shared)); });
                accept();
                return;
            }
            logEvent(LogSeverity::Warning, "accept_failed", { { "message", ec.message() } });
            m_retryTimer.expires_after(retryDelay);
            m_retryTimer.async_wait([this](const boost::system::error_code& timerError) {
                if (!timerError)
                    accept();
            });
        });
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

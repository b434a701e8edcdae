#include <Cyclamenstair/Http/TcpAcceptor.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Telemetry/FailureGuard.h>
#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

using boost::asio::ip::tcp;

Result<std::unique_ptr<TcpAcceptor>> TcpAcceptor::create(
    boost::asio::io_context& context, const std::string& address, const std::string& step)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint.error();
    boost::system::error_code ec;
    tcp::acceptor acceptor(context);
    acceptor.open(endpoint.value().protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint.value(), ec);
    if (!ec)
        acceptor.non_blocking(true, ec);
    if (ec)
        return Error { ErrorKind::Unavailable, step, address, ec.message() };
    return std::unique_ptr<TcpAcceptor>(new TcpAcceptor(std::move(acceptor), address, step));
}

TcpAcceptor::TcpAcceptor(tcp::acceptor acceptor, std::string address, std::string step)
    : m_acceptor(std::move(acceptor))
    , m_retryTimer(m_acceptor.get_executor())
    , m_address(std::move(address))
    , m_step(std::move(step))
{
}

std::optional<Error> TcpAcceptor::listen()
{
    boost::system::error_code ec;
    m_acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec)
        return Error { ErrorKind::Unavailable, m_step, m_address, ec.message() };
    return std::nullopt;
}

void TcpAcceptor::start(ContextSource contextSource, Handler handler)
{
    m_contextSource = std::move(contextSource);
    m_handler = std::move(handler);
    waitForConnection();
}

void TcpAcceptor::waitForConnection()
{
    // The connection is not accepted by the asynchronous operation: that would be lost, without a call of its handler,
    // if there were no memory for the accepted socket.
    m_acceptor.async_wait(tcp::acceptor::wait_read,
        GuardedHandler(
            [this](const boost::system::error_code& ec) {
                if (m_acceptor.is_open())
                    accept(ec);
            },
            [this] { retryLater(); }));
}

void TcpAcceptor::accept(boost::system::error_code ec)
{
    std::optional<tcp::socket> socket;
    if (!ec)
        socket = m_acceptor.accept(m_contextSource(), ec);
    // The connection may have ended since it was reported.
    if (ec && ec != boost::asio::error::would_block && ec != boost::asio::error::connection_aborted) {
        logEvent(LogSeverity::Warning, "accept_failed", { { "address", m_address }, { "message", ec.message() } });
        retryLater();
        return;
    }
    waitForConnection();
    // The next wait is pending already, so an exception of the handler must not start another one.
    if (!ec)
        runGuarded([&] { m_handler(std::move(*socket)); });
}

void TcpAcceptor::retryLater()
{
    // A wait that is pending is kept: there may be no memory for another one.
    if (m_isRetryPending)
        return;
    m_retryTimer.expires_after(retryDelay);
    m_retryTimer.async_wait([this](const boost::system::error_code& ec) {
        m_isRetryPending = false;
        if (!ec)
            waitForConnection();
    });
    m_isRetryPending = true;
}

} // namespace cyclamenstair

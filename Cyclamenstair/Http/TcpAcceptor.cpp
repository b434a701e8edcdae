#include <Cyclamenstair/Http/TcpAcceptor.h>

#include <Cyclamenstair/Http/Endpoint.h>
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
    accept();
}

void TcpAcceptor::accept()
{
    m_acceptor.async_accept(m_contextSource(), [this](const boost::system::error_code& ec, tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!ec) {
            // An exception of the handler must not end the accepting.
            accept();
            m_handler(std::move(socket));
            return;
        }
        logEvent(LogSeverity::Warning, "accept_failed", { { "address", m_address }, { "message", ec.message() } });
        m_retryTimer.expires_after(retryDelay);
        m_retryTimer.async_wait([this](const boost::system::error_code& timerError) {
            if (!timerError)
                accept();
        });
    });
}

} // namespace cyclamenstair

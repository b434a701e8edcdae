#pragma once

#include <utility>

#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Core/Time.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cyclamenstair {

/// Accepts connections at an address. Belongs to one event loop.
class TcpAcceptor {
public:
    /// Returns the context of the next connection.
    using ContextSource = std::function<boost::asio::io_context&()>;
    using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

    /// Binds the address; connections to it are refused until listen(). Returns an InvalidInput error if it is
    /// malformed, and an Unavailable error with `step` if it cannot be bound.
    static Result<std::unique_ptr<TcpAcceptor>> create(
        boost::asio::io_context& context, const std::string& address, const std::string& step);

    /// Lets the operating system queue connections. Fails if another process has begun to listen since create().
    std::optional<Error> listen();

    /// Starts accepting. Called on the loop's thread.
    void start(ContextSource contextSource, Handler handler);

private:
    TcpAcceptor(boost::asio::ip::tcp::acceptor acceptor, std::string address, std::string step);
    void waitForConnection();
    void accept(boost::system::error_code ec);
    void retryLater();

    /// Delay before the next accept after a failure, for example for lack of file descriptors or memory.
    static constexpr Duration retryDelay = milliseconds(50);

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    bool m_isRetryPending { false };
    std::string m_address;
    std::string m_step;
    ContextSource m_contextSource;
    Handler m_handler;
};

} // namespace cyclamenstair

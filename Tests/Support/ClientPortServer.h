#pragma once

#include <Cyclamenstair/Http/TcpAcceptor.h>

#include <array>
#include <functional>
#include <string>

namespace cyclamenstair::testing {

/// Accepts connections and tells whether a listener can bind the port of their client.
class ClientPortServer {
public:
    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    /// Returns whether a listener can bind the client's port while the connection is open and after the client has
    /// closed it. `connect` starts a connection that the client closes after `close`. Connections of other programs may
    /// hold the same port, so several are tried; a client that holds its port itself fails each time.
    bool canListenAtClientPort(const std::function<void()>& connect, const std::function<void()>& close)
    {
        constexpr int maxTries = 10;
        for (int i = 0; i < maxTries; ++i) {
            connect();
            boost::asio::ip::tcp::socket connection(m_context);
            m_acceptor.accept(connection);
            const auto clientAddress = "127.0.0.1:" + std::to_string(connection.remote_endpoint().port());
            const bool isFreeWhileOpen = canListen(clientAddress);
            close();
            awaitClose(connection);
            if (isFreeWhileOpen && canListen(clientAddress))
                return true;
        }
        return false;
    }

private:
    static bool canListen(const std::string& address)
    {
        boost::asio::io_context context;
        auto acceptor = TcpAcceptor::create(context, address, "test.listen");
        return acceptor && !acceptor.value()->listen();
    }

    /// Waits until the client has closed the connection, whose port is then in TIME_WAIT.
    static void awaitClose(boost::asio::ip::tcp::socket& connection)
    {
        std::array<char, 4096> bytes {};
        boost::system::error_code ec;
        while (!ec)
            connection.read_some(boost::asio::buffer(bytes), ec);
        connection.close(ec);
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor { m_context, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
};

} // namespace cyclamenstair::testing

#pragma once

#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Http/HttpClient.h>
#include <Cyclamenstair/Http/ServerListener.h>

#include <StandIns/LoopbackPort.h>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <future>

namespace cyclamenstair {

using boost::asio::ip::tcp;

inline constexpr auto waitTimeout = std::chrono::seconds(10);

inline bool eventually(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(milliseconds(1));
    return condition();
}

/// Echoes the target and body of each request. Does not respond to /silent, but records the caller's disconnect.
class EchoServer {
public:
    explicit EchoServer(ServerConnectionLimits limits = {})
    {
        auto listener = ServerListener::create(
            address, { &m_loop }, [limits] { return limits; },
            [this](size_t, const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request) {
                ++requests;
                if (request.target == "/silent")
                    connection->setDisconnectHandler([this] { disconnected.set_value(); });
                else
                    connection->sendResponse({ 200, {}, {} }, request.target + " " + request.body);
            });
        m_listener = std::move(listener).value();
        if (const auto error = m_listener->listen())
            throw Exception(*error);
        m_listener->start();
        m_loop.start();
    }

    /// The loop uses the listener until it has stopped.
    ~EchoServer() { m_loop.stop(); }
    EchoServer(const EchoServer&) = delete;
    EchoServer& operator=(const EchoServer&) = delete;

    const std::string address = allocateLoopbackAddress();
    std::atomic<int> requests { 0 };
    std::promise<void> disconnected;

private:
    EventLoop m_loop;
    std::unique_ptr<ServerListener> m_listener;
};

/// Sends raw bytes and returns all data received until the server closes the connection.
inline std::string sendRaw(const std::string& address, const std::string& bytes)
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(parseEndpoint(address).value());
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::string response;
    boost::system::error_code ec;
    boost::asio::read(socket, boost::asio::dynamic_buffer(response), ec);
    return response;
}

/// Accepts a number of connections one after the other and runs a function on each.
class RawServer {
public:
    RawServer(int connectionCount, std::function<void(tcp::socket&)> serve)
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()))
        , m_thread([this, connectionCount, serve = std::move(serve)] {
            for (int i = 0; i < connectionCount; ++i) {
                tcp::socket socket(m_context);
                m_acceptor.accept(socket);
                ++connections;
                serve(socket);
            }
        })
    {
    }

    ~RawServer() { m_thread.join(); }

    std::atomic<int> connections { 0 };

private:
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;

public:
    const std::string address;

private:
    std::thread m_thread;
};

/// Reads a request head from `socket` and returns its target; `input` keeps the bytes after it. Returns an empty string
/// if the connection ends.
inline std::string readTarget(tcp::socket& socket, std::string& input)
{
    boost::system::error_code ec;
    const auto headBytes = boost::asio::read_until(socket, boost::asio::dynamic_buffer(input), "\r\n\r\n", ec);
    if (ec)
        return {};
    const auto start = input.find(' ') + 1;
    auto target = input.substr(start, input.find(' ', start) - start);
    input.erase(0, headBytes);
    return target;
}

/// Sends one of the scripted responses on each connection, after a request head, and closes it.
class ScriptedServer : public RawServer {
public:
    explicit ScriptedServer(std::vector<std::string> responses)
        : RawServer(static_cast<int>(responses.size()), [responses, next = size_t { 0 }](tcp::socket& socket) mutable {
            std::string input;
            boost::system::error_code ec;
            (void)readTarget(socket, input);
            boost::asio::write(socket, boost::asio::buffer(responses[next++]), ec);
            socket.shutdown(tcp::socket::shutdown_both, ec);
        })
    {
    }
};

/// Messages for each framing of a body, without the start line.
inline const std::vector<std::string> framedMessages { "Content-Length: 4\r\n\r\nbody",
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: 1\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n3\r\nody\r\n0\r\n\r\n" };

/// Writes the first `split` bytes, and the others one by one, so that the peer reads them separately.
inline void writeInParts(tcp::socket& socket, const std::string& bytes, size_t split)
{
    constexpr auto pause = milliseconds(2);
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    boost::asio::write(socket, boost::asio::buffer(bytes.substr(0, split)), ec);
    for (size_t at = split; at < bytes.size(); ++at) {
        std::this_thread::sleep_for(pause);
        boost::asio::write(socket, boost::asio::buffer(bytes.data() + at, 1), ec);
    }
}

/// Sends `start` and then `repeated` until the client closes.
class EndlessServer : public RawServer {
public:
    static constexpr size_t maxSentBytes = size_t { 256 } << 20U;

    EndlessServer(const std::string& start, const std::string& repeated)
        : RawServer(1, [this, start, repeated](tcp::socket& socket) {
            std::string input;
            boost::system::error_code ec;
            (void)readTarget(socket, input);
            boost::asio::write(socket, boost::asio::buffer(start), ec);
            while (!ec && sentBytes < maxSentBytes)
                sentBytes += boost::asio::write(socket, boost::asio::buffer(repeated), ec);
        })
    {
    }

    std::atomic<size_t> sentBytes { 0 };
};

/// Answers each request with its target on a connection that stays open. If `isRepeating`, sends each answer a second
/// time after `delay`.
class RepeatingServer : public RawServer {
public:
    RepeatingServer(int connectionCount, Duration delay, bool isRepeating)
        : RawServer(connectionCount, [delay, isRepeating](tcp::socket& socket) {
            std::string input;
            boost::system::error_code ec;
            for (auto target = readTarget(socket, input); !target.empty(); target = readTarget(socket, input)) {
                const auto response
                    = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(target.size()) + "\r\n\r\n" + target;
                boost::asio::write(socket, boost::asio::buffer(response), ec);
                if (!isRepeating)
                    continue;
                std::this_thread::sleep_for(delay);
                boost::asio::write(socket, boost::asio::buffer(response), ec);
            }
        })
    {
    }
};

/// HttpClient on its own event loop whose calls block until their outcome.
class BlockingClient {
public:
    BlockingClient() { m_loop.start(); }

    HttpOutcome call(const std::string& address, HttpRequest request = { "GET", "/", { { "Host", "a" } }, {}, false },
        Duration timeout = milliseconds(5000), std::function<bool()> mayWrite = nullptr)
    {
        std::promise<HttpOutcome> outcome;
        m_loop.post([&] {
            m_client.call(
                parseEndpoint(address).value(), request, timeout,
                [&](HttpOutcome result) { outcome.set_value(std::move(result)); }, mayWrite);
        });
        return outcome.get_future().get();
    }

private:
    EventLoop m_loop;
    HttpClient m_client { m_loop.context(), ClientConnectionSettings {} };
};

inline std::string bodyOf(const HttpOutcome& outcome)
{
    const auto* response = std::get_if<HttpResponse>(&outcome);
    return response ? response->body : "failed: " + std::get<CallFailed>(outcome).error.describe();
}

inline std::string createResponse(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace cyclamenstair

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

using namespace cyclamenstair;
using boost::asio::ip::tcp;

namespace {

constexpr auto waitTimeout = std::chrono::seconds(10);

bool eventually(const std::function<bool()>& condition)
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
        m_listener->start();
        m_loop.start();
    }

    const std::string address = allocateLoopbackAddress();
    std::atomic<int> requests { 0 };
    std::promise<void> disconnected;

private:
    EventLoop m_loop;
    std::unique_ptr<ServerListener> m_listener;
};

/// Sends raw bytes and returns all data received until the server closes the connection.
std::string sendRaw(const std::string& address, const std::string& bytes)
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
std::string readTarget(tcp::socket& socket, std::string& input)
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

std::string bodyOf(const HttpOutcome& outcome)
{
    const auto* response = std::get_if<HttpResponse>(&outcome);
    return response ? response->body : "failed: " + std::get<CallFailed>(outcome).error.describe();
}

std::string createResponse(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against pipelined requests that are lost, reordered, or split at the wrong byte.
TEST(ServerConnection, RespondsInRequestOrder)
{
    EchoServer server;
    const auto response = sendRaw(server.address,
        "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
        "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"
        "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto first = response.find("/1 abc");
    const auto second = response.find("/2 de");
    const auto third = response.find("/3 ");
    EXPECT_NE(third, std::string::npos) << response;
    EXPECT_LT(first, second);
    EXPECT_LT(second, third);
}

// Guards against request smuggling: framing that two servers parse differently can hide one request in another.
TEST(ServerConnection, RejectsAmbiguousFraming)
{
    const std::string smuggledRequest = "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    for (const std::string& head : std::vector<std::string> { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
             "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             "Content-Length: -5\r\n", "Content-Length: 5, 6\r\n", "Transfer-Encoding : chunked\r\n" }) {
        EchoServer server;
        const auto response = sendRaw(server.address,
            std::string("POST /x HTTP/1.1\r\nHost: a\r\n").append(head).append("\r\n").append(smuggledRequest));
        EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << head << response;
        EXPECT_EQ(server.requests, 0) << head;
    }
}

// Guards against unbounded buffering of request heads and bodies.
TEST(ServerConnection, RejectsRequestsOverTheLimits)
{
    EchoServer server({ .maxHeadBytes = 200, .maxBodyBytes = 10 });
    EXPECT_TRUE(sendRaw(server.address, "GET / HTTP/1.1\r\nHost: " + std::string(300, 'a') + "\r\n\r\n")
                    .starts_with("HTTP/1.1 431"));
    EXPECT_TRUE(sendRaw(server.address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n12345678901")
                    .starts_with("HTTP/1.1 413"));
}

// Guards against a caller that takes memory with a chunk size or a trailer without end.
TEST(ServerConnection, RejectsEndlessFraming)
{
    EchoServer server;
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& line : { std::string(65536, '0'), "1;extension=" + std::string(65536, 'x'),
             "0\r\nX-Trailer: " + std::string(65536, 'x') })
        EXPECT_TRUE(sendRaw(server.address, head + line).starts_with("HTTP/1.1 400")) << line.substr(0, 16);
    EXPECT_EQ(server.requests, 0);
}

// Guards against many callers with bodies within the limit that together take the node's memory, and against memory
// that stays taken after their requests.
TEST(ServerConnection, BodiesOfAllCallersAreBounded)
{
    BufferBudget buffers(1'000'000);
    {
        EchoServer server({ .buffers = &buffers });
        const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 400000\r\n\r\n";
        boost::asio::io_context context;
        tcp::socket first(context);
        first.connect(parseEndpoint(server.address).value());
        boost::asio::write(first, boost::asio::buffer(head + std::string(300000, 'x')));
        EXPECT_TRUE(eventually([&] { return buffers.usedBytes() >= 600000; }));
        EXPECT_TRUE(sendRaw(server.address, head + std::string(400000, 'x')).starts_with("HTTP/1.1 503"));
        boost::system::error_code ec;
        first.close(ec);
        EXPECT_TRUE(eventually([&] { return buffers.usedBytes() == 0; }));
        EXPECT_TRUE(sendRaw(server.address, head + std::string(400000, 'x')).starts_with("HTTP/1.1 200"));
    }
    EXPECT_EQ(buffers.usedBytes(), 0U);
}

// Guards against a response that counts as sent while a part of it still waits for its caller.
TEST(ServerConnection, WritableHandlerWaitsForEndOfResponse)
{
    constexpr size_t bodyBytes = size_t { 32 } << 20U; // Beyond the buffers of both sockets.
    EventLoop loop;
    std::atomic<bool> isWritten { false };
    const auto address = allocateLoopbackAddress();
    const auto listener = ServerListener::create(
        address, { &loop }, [] { return ServerConnectionLimits {}; },
        [&](size_t, const std::shared_ptr<ServerConnection>& connection, const HttpRequest&) {
            connection->sendResponse({ 200, {}, {} }, std::string(bodyBytes, 'x'));
            connection->setWritableHandler([&] { isWritten = true; });
        });
    listener.value()->start();
    loop.start();
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(parseEndpoint(address).value());
    boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_FALSE(isWritten);
    std::string received(bodyBytes, '\0');
    boost::asio::read(socket, boost::asio::buffer(received));
    EXPECT_TRUE(eventually([&] { return isWritten.load(); }));
    loop.stop();
}

// Guards against idle or slow callers that hold connections forever.
TEST(ServerConnection, ClosesIdleAndSlowConnections)
{
    EchoServer server({ .headTimeout = milliseconds(100), .idleTimeout = milliseconds(200) });
    EXPECT_EQ(sendRaw(server.address, ""), "");
    EXPECT_EQ(sendRaw(server.address, "GET / HT"), "");
    EXPECT_EQ(server.requests, 0);
}

// Guards against work that continues for a caller that disconnected while its request was in progress.
TEST(ServerConnection, DetectsCallerDisconnect)
{
    EchoServer server;
    {
        boost::asio::io_context context;
        tcp::socket socket(context);
        socket.connect(parseEndpoint(server.address).value());
        boost::asio::write(socket, boost::asio::buffer(std::string("GET /silent HTTP/1.1\r\nHost: a\r\n\r\n")));
        while (server.requests == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    EXPECT_EQ(server.disconnected.get_future().wait_for(waitTimeout), std::future_status::ready);
}

// Guards against a new connection for each call, and against a call that fails on a connection reused from the pool.
TEST(ClientConnection, ReusesConnectionAfterCompleteResponse)
{
    RepeatingServer server(1, {}, false);
    BlockingClient client;
    for (const char* target : { "/1", "/2", "/3" })
        EXPECT_EQ(bodyOf(client.call(server.address, { "GET", target, { { "Host", "a" } }, {}, false })), target);
    EXPECT_EQ(server.connections, 1);
}

// Guards against a second answer that arrives after the first one is complete and that the next request on the
// connection takes for its own. The loop is busy while the answer arrives, so its bytes wait unread in the socket.
TEST(ClientConnection, LateSecondAnswerIsNotTakenForTheNext)
{
    RepeatingServer server(2, milliseconds(50), true);
    EventLoop loop;
    loop.start();
    HttpClient client { loop.context(), ClientConnectionSettings {} };
    std::promise<std::string> second;
    loop.post([&] {
        const auto get = [&](const std::string& target, HttpClient::Handler handler) {
            client.call(parseEndpoint(server.address).value(), { "GET", target, { { "Host", "a" } }, {}, false },
                milliseconds(2000), std::move(handler));
        };
        get("/1", [&, get](const HttpOutcome& first) {
            EXPECT_EQ(bodyOf(first), "/1");
            boost::asio::post(loop.context(), [&, get] {
                std::this_thread::sleep_for(milliseconds(200));
                get("/2", [&](const HttpOutcome& outcome) { second.set_value(bodyOf(outcome)); });
            });
        });
    });
    EXPECT_EQ(second.get_future().get(), "/2");
    EXPECT_EQ(server.connections, 2);
    loop.stop();
}

// Guards against bytes without end in any part of a response, which would take memory and processor time until the
// call's timeout.
TEST(HttpClient, EndlessResponsesFail)
{
    const std::string manyBytes(65536, 'x');
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> responses {
        { "HTTP/1.1 200 ", manyBytes },
        { "HTTP/1.1 200 OK\r\nX-Field: ", manyBytes },
        { "HTTP/1.1 200 OK\r\n", "X-Field: " + manyBytes.substr(0, 1024) + "\r\n" },
        { "", interim },
        { "HTTP/1.1 200 OK\r\n\r\n", manyBytes },
        { chunkedHead, "10000\r\n" + manyBytes + "\r\n" },
        { chunkedHead, std::string(65536, '0') },
        { chunkedHead + "1;extension=", manyBytes },
        { chunkedHead + "0\r\n", "X-Trailer: " + manyBytes.substr(0, 1024) + "\r\n" },
    };
    for (const auto& [start, repeated] : responses) {
        EndlessServer server(start, repeated);
        BlockingClient client;
        const auto outcome
            = client.call(server.address, { "GET", "/", { { "Host", "a" } }, {}, false }, milliseconds(20000));
        ASSERT_TRUE(std::holds_alternative<CallFailed>(outcome));
        EXPECT_NE(std::get<CallFailed>(outcome).error.kind, ErrorKind::Timeout) << start;
        EXPECT_LT(server.sentBytes, EndlessServer::maxSentBytes) << start;
    }
}

// Guards against memory that is reserved for a stated length, or an exception that leaves the call without an outcome.
TEST(HttpClient, HugeStatedLengthFails)
{
    ScriptedServer server({ "HTTP/1.1 200 OK\r\nContent-Length: 100000000000000\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\nbody" });
    BlockingClient client;
    for (int i = 0; i < 2; ++i) {
        const auto outcome = client.call(server.address);
        ASSERT_TRUE(std::holds_alternative<CallFailed>(outcome));
        EXPECT_NE(std::get<CallFailed>(outcome).error.kind, ErrorKind::Timeout);
    }
}

// Guards against a response whose head is cut at any byte and that passes for a complete one with an empty or short
// body.
TEST(ClientConnection, HeadCutAtAnyByteIsAFailure)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Field: 1\r\n\r\n";
    std::vector<std::string> responses;
    for (size_t bytes = 0; bytes < head.size(); ++bytes)
        responses.push_back(head.substr(0, bytes));
    ScriptedServer server(responses);
    BlockingClient client;
    for (const auto& response : responses)
        EXPECT_TRUE(std::holds_alternative<CallFailed>(client.call(server.address))) << response;
}

// Guards against an order that is written after the node lost the right to send it while the connection was opened.
TEST(HttpClient, RequestIsNotWrittenWithoutPermission)
{
    EchoServer server;
    BlockingClient client;
    const auto outcome = client.call(
        server.address, { "GET", "/", { { "Host", "a" } }, {}, false }, milliseconds(2000), [] { return false; });
    ASSERT_TRUE(std::holds_alternative<CallFailed>(outcome));
    EXPECT_FALSE(std::get<CallFailed>(outcome).wasSent);
    EXPECT_EQ(server.requests, 0);
}

// Guards against body framing, interim responses or empty bodies that are parsed wrongly.
TEST(ClientConnection, ReadsEveryResponseFraming)
{
    ScriptedServer server({ createResponse("length"),
        "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nchu\r\n3\r\nnks\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nuntil the end",
        "HTTP/1.1 100 Continue\r\n\r\n" + createResponse("after an interim answer"),
        "HTTP/1.1 204 No Content\r\n\r\n" });
    BlockingClient client;
    for (const char* body : { "length", "chunks", "until the end", "after an interim answer", "" })
        EXPECT_EQ(bodyOf(client.call(server.address)), body);
}

// Guards against a truncated or malformed response that passes for a complete one.
TEST(ClientConnection, TruncatedResponseIsAFailure)
{
    ScriptedServer server({ "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nchu\r\n", "HTTP/1.1 200", "garbage\r\n\r\n", "" });
    BlockingClient client;
    for (int i = 0; i < 5; ++i) {
        const auto outcome = client.call(server.address);
        ASSERT_TRUE(std::holds_alternative<CallFailed>(outcome)) << bodyOf(outcome);
        EXPECT_TRUE(std::get<CallFailed>(outcome).wasSent);
    }
}

// Guards against surplus bytes after a response that are read as the response to the next request.
TEST(ClientConnection, SurplusBytesPreventReuse)
{
    ScriptedServer server({ createResponse("one") + createResponse("late answer to another"), createResponse("two") });
    BlockingClient client;
    EXPECT_EQ(bodyOf(client.call(server.address)), "one");
    EXPECT_EQ(bodyOf(client.call(server.address)), "two");
    EXPECT_EQ(server.connections, 2);
}

// Guards against a refused connection that counts as sent, which would prevent a safe repeat.
TEST(ClientConnection, RefusedConnectionIsNotSent)
{
    BlockingClient client;
    const auto outcome = client.call(allocateLoopbackAddress());
    ASSERT_TRUE(std::holds_alternative<CallFailed>(outcome));
    EXPECT_FALSE(std::get<CallFailed>(outcome).wasSent);
}

// Guards against a call that never ends when the server does not respond.
TEST(HttpClient, CallTimesOut)
{
    EchoServer server;
    BlockingClient client;
    const auto outcome
        = client.call(server.address, { "GET", "/silent", { { "Host", "a" } }, {}, false }, milliseconds(100));
    EXPECT_TRUE(std::holds_alternative<CallFailed>(outcome));
}

// Guards against forwarding hop-by-hop fields, including those listed in the Connection field.
TEST(HttpMessage, DropsHopByHopFields)
{
    boost::beast::http::fields fields;
    fields.set("Connection", "close, X-Hop");
    fields.set("X-Hop", "1");
    fields.set("Keep-Alive", "timeout=5");
    fields.set("Transfer-Encoding", "chunked");
    fields.set("X-End", "2");
    EXPECT_EQ(endToEndFields(fields), (HeaderFields { { "X-End", "2" } }));
}

// Guards against a malformed address that is parsed in part.
TEST(Endpoint, RejectsMalformedAddresses)
{
    EXPECT_TRUE(parseEndpoint("127.0.0.1:80"));
    for (const char* text : { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "name:80", "127.0.0.1:80x" })
        EXPECT_FALSE(parseEndpoint(text)) << text;
}

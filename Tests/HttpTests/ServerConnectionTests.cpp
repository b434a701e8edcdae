#include <Tests/HttpTests/HttpTestServers.h>

using namespace cyclamenstair;

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
    ASSERT_FALSE(listener.value()->listen());
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

// Guards against a request that ends the process because it arrives in certain pieces.
TEST(ServerConnection, ReadsRequestsInAnyPieces)
{
    EchoServer server;
    for (const auto& message : framedMessages) {
        const auto request = "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + message;
        const auto bodyStart = request.find("\r\n\r\n");
        for (size_t split = bodyStart; split < request.size(); ++split) {
            boost::asio::io_context context;
            tcp::socket socket(context);
            socket.connect(parseEndpoint(server.address).value());
            writeInParts(socket, request, split);
            std::string response;
            boost::system::error_code ec;
            boost::asio::read(socket, boost::asio::dynamic_buffer(response), ec);
            EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << message << response;
            EXPECT_TRUE(response.ends_with(message.find("ody") == std::string::npos ? "/x " : "/x body")) << response;
        }
    }
}

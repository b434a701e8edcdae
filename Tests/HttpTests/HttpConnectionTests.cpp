#include <Tests/HttpTests/HttpTestServers.h>

using namespace cyclamenstair;

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

// Guards against a response that ends the process because it arrives in certain pieces.
TEST(ClientConnection, ReadsResponsesInAnyPieces)
{
    for (const auto& message : framedMessages) {
        const auto response = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + message;
        const auto bodyStart = response.find("\r\n\r\n");
        for (size_t split = bodyStart; split < response.size(); ++split) {
            RawServer server(1, [&](tcp::socket& socket) {
                std::string input;
                (void)readTarget(socket, input);
                writeInParts(socket, response, split);
            });
            BlockingClient client;
            EXPECT_EQ(bodyOf(client.call(server.address)), message.find("ody") == std::string::npos ? "" : "body");
        }
    }
}

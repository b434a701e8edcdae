#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Http/HttpCaller.h>
#include <Cyclamenstair/Http/ServerListener.h>

#include <StandIns/LoopbackPort.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <future>

using namespace cyclamenstair;
using boost::asio::ip::tcp;

namespace {

constexpr auto patience = std::chrono::seconds(10);

/// A server that answers each request with its target and body, and counts the callers that leave.
class EchoServer {
public:
    explicit EchoServer(ServerConnectionLimits limits = {})
    {
        auto listener = ServerListener::create(
            address, { &m_loop }, [limits] { return limits; },
            [this](size_t, const std::shared_ptr<ServerConnection>& caller, const HttpRequest& request) {
                ++requests;
                if (request.target == "/silent")
                    caller->setLeaveHandler([this] { left.set_value(); });
                else
                    caller->answer({ 200, {}, {} }, request.target + " " + request.body);
            });
        m_listener = std::move(listener).value();
        m_listener->start();
        m_loop.start();
    }

    const std::string address = freeLoopbackAddress();
    std::atomic<int> requests { 0 };
    std::promise<void> left;

private:
    EventLoop m_loop;
    std::unique_ptr<ServerListener> m_listener;
};

/// Sends raw bytes and returns all that comes until the connection is closed.
std::string exchangeBytes(const std::string& address, const std::string& bytes)
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(parseEndpoint(address).value());
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::string answer;
    boost::system::error_code ec;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ec);
    return answer;
}

/// A server that accepts one connection after the other and sends scripted bytes for each request head that it reads.
class ScriptedServer {
public:
    explicit ScriptedServer(std::vector<std::string> answers)
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()))
        , m_thread([this, answers = std::move(answers)] { serve(answers); })
    {
    }

    ~ScriptedServer() { m_thread.join(); }

    std::atomic<int> connections { 0 };

private:
    void serve(const std::vector<std::string>& answers)
    {
        for (const auto& answer : answers) {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket);
            ++connections;
            std::string head;
            boost::system::error_code ec;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", ec);
            boost::asio::write(socket, boost::asio::buffer(answer), ec);
            socket.shutdown(tcp::socket::shutdown_both, ec);
        }
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;

public:
    const std::string address;

private:
    std::thread m_thread;
};

/// Calls on an own event loop and waits for the outcome.
class Caller {
public:
    Caller() { m_loop.start(); }

    HttpOutcome call(const std::string& address, HttpRequest request = { "GET", "/", { { "Host", "a" } }, {}, false },
        Duration timeout = milliseconds(5000))
    {
        std::promise<HttpOutcome> outcome;
        m_loop.post([&] {
            m_caller.call(parseEndpoint(address).value(), request, timeout,
                [&](HttpOutcome result) { outcome.set_value(std::move(result)); });
        });
        return outcome.get_future().get();
    }

private:
    EventLoop m_loop;
    HttpCaller m_caller { m_loop.context(), ClientConnectionSettings {} };
};

std::string bodyOf(const HttpOutcome& outcome)
{
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    return answer ? answer->body : "failed: " + std::get<CallFailed>(outcome).error.describe();
}

std::string answerWith(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST(ServerConnection, AnswersRequestsInTheirOrder)
{
    EchoServer server;
    const auto answer = exchangeBytes(server.address,
        "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
        "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"
        "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto first = answer.find("/1 abc");
    const auto second = answer.find("/2 de");
    const auto third = answer.find("/3 ");
    EXPECT_NE(third, std::string::npos) << answer;
    EXPECT_LT(first, second);
    EXPECT_LT(second, third);
}

// Framing that two servers may read differently lets one request hide in another.
TEST(ServerConnection, RefusesAmbiguousFraming)
{
    const std::string smuggled = "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    for (const std::string& head : std::vector<std::string> { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
             "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             "Content-Length: -5\r\n", "Content-Length: 5, 6\r\n", "Transfer-Encoding : chunked\r\n" }) {
        EchoServer server;
        const auto answer = exchangeBytes(server.address,
            std::string("POST /x HTTP/1.1\r\nHost: a\r\n").append(head).append("\r\n").append(smuggled));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << head << answer;
        EXPECT_EQ(server.requests, 0) << head;
    }
}

TEST(ServerConnection, RefusesWhatExceedsTheLimits)
{
    EchoServer server({ .maxHeadBytes = 200, .maxBodyBytes = 10 });
    EXPECT_TRUE(exchangeBytes(server.address, "GET / HTTP/1.1\r\nHost: " + std::string(300, 'a') + "\r\n\r\n")
                    .starts_with("HTTP/1.1 431"));
    EXPECT_TRUE(exchangeBytes(server.address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n12345678901")
                    .starts_with("HTTP/1.1 413"));
}

TEST(ServerConnection, ClosesAConnectionThatStaysIdleOrSendsSlowly)
{
    EchoServer server({ .headTimeout = milliseconds(100), .idleTimeout = milliseconds(200) });
    EXPECT_EQ(exchangeBytes(server.address, ""), "");
    EXPECT_EQ(exchangeBytes(server.address, "GET / HT"), "");
    EXPECT_EQ(server.requests, 0);
}

// A caller that leaves while its request is silent must be noticed at once, so that its work can be ended.
TEST(ServerConnection, NoticesACallerThatLeaves)
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
    EXPECT_EQ(server.left.get_future().wait_for(patience), std::future_status::ready);
}

TEST(ClientConnection, ReusesAConnectionAfterACompleteAnswer)
{
    EchoServer server;
    Caller caller;
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(bodyOf(caller.call(server.address)), "/ ");
}

TEST(ClientConnection, ReadsAnswersInEveryFraming)
{
    ScriptedServer server({ answerWith("length"),
        "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nchu\r\n3\r\nnks\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nuntil the end", "HTTP/1.1 100 Continue\r\n\r\n" + answerWith("after an interim answer"),
        "HTTP/1.1 204 No Content\r\n\r\n" });
    Caller caller;
    for (const char* body : { "length", "chunks", "until the end", "after an interim answer", "" })
        EXPECT_EQ(bodyOf(caller.call(server.address)), body);
}

// An answer that breaks off must not look complete.
TEST(ClientConnection, ReportsAnswersThatBreakOff)
{
    ScriptedServer server({ "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nchu\r\n", "HTTP/1.1 200", "garbage\r\n\r\n", "" });
    Caller caller;
    for (int i = 0; i < 5; ++i) {
        const auto outcome = caller.call(server.address);
        ASSERT_TRUE(std::holds_alternative<CallFailed>(outcome)) << bodyOf(outcome);
        EXPECT_TRUE(std::get<CallFailed>(outcome).wasSent);
    }
}

// Bytes after a complete answer belong to no request; the next one must not read them.
TEST(ClientConnection, BytesAfterAnAnswerRetireTheConnection)
{
    ScriptedServer server({ answerWith("one") + answerWith("late answer to another"), answerWith("two") });
    Caller caller;
    EXPECT_EQ(bodyOf(caller.call(server.address)), "one");
    EXPECT_EQ(bodyOf(caller.call(server.address)), "two");
    EXPECT_EQ(server.connections, 2);
}

TEST(ClientConnection, RefusedConnectionWasNotSent)
{
    Caller caller;
    const auto outcome = caller.call(freeLoopbackAddress());
    ASSERT_TRUE(std::holds_alternative<CallFailed>(outcome));
    EXPECT_FALSE(std::get<CallFailed>(outcome).wasSent);
}

TEST(HttpCaller, EndsACallThatGetsNoAnswer)
{
    EchoServer server;
    Caller caller;
    const auto outcome
        = caller.call(server.address, { "GET", "/silent", { { "Host", "a" } }, {}, false }, milliseconds(100));
    EXPECT_TRUE(std::holds_alternative<CallFailed>(outcome));
}

TEST(HttpMessage, DropsTheFieldsOfOneConnection)
{
    boost::beast::http::fields fields;
    fields.set("Connection", "close, X-Hop");
    fields.set("X-Hop", "1");
    fields.set("Keep-Alive", "timeout=5");
    fields.set("Transfer-Encoding", "chunked");
    fields.set("X-End", "2");
    EXPECT_EQ(endToEndFields(fields), (HeaderFields { { "X-End", "2" } }));
}

TEST(Endpoint, RejectsWhatIsNoAddress)
{
    EXPECT_TRUE(parseEndpoint("127.0.0.1:80"));
    for (const char* text : { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "name:80", "127.0.0.1:80x" })
        EXPECT_FALSE(parseEndpoint(text)) << text;
}

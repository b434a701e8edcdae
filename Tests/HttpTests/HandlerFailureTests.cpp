#include <Tests/HttpTests/HttpTestServers.h>
#include <Tests/Support/FailingAllocations.h>

using namespace cyclamenstair;

// Guards against a process that ends because a handler throws an object that is no std::exception.
TEST(EventLoop, ExceptionsOfAnyTypeDoNotEndTheLoop)
{
    EventLoop loop;
    loop.start();
    std::promise<void> done;
    loop.post([] { throw 1; });
    loop.post([] { throw std::runtime_error("test"); });
    loop.post([&] { done.set_value(); });
    EXPECT_EQ(done.get_future().wait_for(waitTimeout), std::future_status::ready);
    loop.stop();
}

// Guards against a caller that waits until its own timeout, and a connection that is never closed, because the handler
// of its request has thrown.
TEST(ServerConnection, ClosesWhenTheHandlerOfARequestThrows)
{
    EventLoop loop;
    const auto address = allocateLoopbackAddress();
    int requests = 0;
    auto listener = ServerListener::create(
        address, { &loop }, [] { return ServerConnectionLimits {}; },
        [&](size_t, const std::shared_ptr<ServerConnection>& connection, const HttpRequest&) {
            if (++requests == 1) {
                // Like a request in progress, which keeps its connection.
                connection->setDisconnectHandler([connection] {});
                throw std::runtime_error("test");
            }
            connection->sendResponse({ 200, {}, {} }, "body");
        });
    ASSERT_FALSE(listener.value()->listen());
    listener.value()->start();
    loop.start();
    BlockingClient client;
    const HttpRequest request { "GET", "/", { { "Host", "a" } }, {}, false };
    const auto first = client.call(address, request);
    ASSERT_TRUE(std::holds_alternative<CallFailed>(first));
    EXPECT_TRUE(std::get<CallFailed>(first).isClosedByServer) << std::get<CallFailed>(first).error.describe();
    EXPECT_EQ(bodyOf(client.call(address, request)), "body");
    loop.stop();
}

namespace {

/// Accepts connections on an event loop and keeps them.
class Acceptor {
public:
    explicit Acceptor(std::function<void()> onContext = [] {})
    {
        auto acceptor = TcpAcceptor::create(m_loop.context(), address, "test.listen");
        m_acceptor = std::move(acceptor).value();
        if (const auto error = m_acceptor->listen())
            throw Exception(*error);
        m_loop.post([this, onContext = std::move(onContext)] {
            m_acceptor->start(
                [this, onContext]() -> boost::asio::io_context& {
                    onContext();
                    return m_loop.context();
                },
                [this](tcp::socket socket) {
                    ++connections;
                    m_sockets.push_back(std::move(socket));
                });
        });
        m_loop.start();
    }

    ~Acceptor() { m_loop.stop(); }
    Acceptor(const Acceptor&) = delete;
    Acceptor& operator=(const Acceptor&) = delete;

    /// Runs the function on the loop's thread and waits for it.
    void run(const std::function<void()>& function)
    {
        std::promise<void> done;
        m_loop.post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    const std::string address = allocateLoopbackAddress();
    std::atomic<int> connections { 0 };

private:
    EventLoop m_loop;
    std::unique_ptr<TcpAcceptor> m_acceptor;
    std::vector<tcp::socket> m_sockets;
};

/// Connects to an address and keeps the connections.
class Connections {
public:
    void open(const std::string& address) { m_sockets.emplace_back(m_context).connect(parseEndpoint(address).value()); }

private:
    boost::asio::io_context m_context;
    std::vector<tcp::socket> m_sockets;
};

/// Number of allocations after which the next one fails, in turn. More than an operation under test needs.
constexpr size_t maxAllocations = 40;

} // namespace

// Guards against a node that no longer accepts connections because the next accept could not be started.
TEST(TcpAcceptor, AcceptsAfterItsContextSourceThrew)
{
    int calls = 0;
    Acceptor acceptor([&] {
        if (++calls == 2)
            throw std::runtime_error("test");
    });
    Connections connections;
    for (int expected = 1; expected <= 3; ++expected) {
        connections.open(acceptor.address);
        ASSERT_TRUE(eventually([&] { return acceptor.connections >= expected; })) << expected;
    }
}

#ifndef __SANITIZE_THREAD__

// Guards against a node that no longer accepts connections because there was no memory for one of them.
TEST(TcpAcceptor, AcceptsAfterFailedAllocations)
{
    Acceptor acceptor;
    Connections connections;
    int failures = 0;
    for (size_t allocations = 0; allocations < maxAllocations; ++allocations) {
        acceptor.run([&] { failAllocation(allocations); });
        connections.open(acceptor.address);
        std::this_thread::sleep_for(milliseconds(5));
        acceptor.run([&] { failures += endFailingAllocation() ? 1 : 0; });
        const int before = acceptor.connections;
        connections.open(acceptor.address);
        ASSERT_TRUE(eventually([&] { return acceptor.connections > before; })) << allocations;
    }
    EXPECT_GT(failures, 0);
}

// Guards against a caller that waits until its own timeout, or gets a part of an answer as the whole, because there was
// no memory to send it.
TEST(ServerConnection, ClosesIfAResponseCannotBeWritten)
{
    EventLoop loop;
    const auto address = allocateLoopbackAddress();
    const std::string body(100000, 'x');
    std::atomic<size_t> allocations = 0;
    std::atomic<bool> hasFailed = true;
    auto listener = ServerListener::create(
        address, { &loop }, [] { return ServerConnectionLimits {}; },
        [&](size_t, const std::shared_ptr<ServerConnection>& connection, const HttpRequest&) {
            // Like a response that is sent when a target has answered, and not in the handler of the request.
            loop.post([&, connection] {
                failAllocation(allocations);
                try {
                    connection->sendHead({ 200, {}, {} }, std::nullopt);
                    connection->sendData(body);
                    connection->finish();
                } catch (const std::bad_alloc&) {
                }
                hasFailed = endFailingAllocation();
            });
        });
    ASSERT_FALSE(listener.value()->listen());
    listener.value()->start();
    loop.start();
    BlockingClient client;
    for (; hasFailed && allocations < maxAllocations; ++allocations) {
        const auto outcome = client.call(address);
        if (const auto* failure = std::get_if<CallFailed>(&outcome)) {
            EXPECT_NE(failure->error.kind, ErrorKind::Timeout) << allocations;
        } else {
            EXPECT_EQ(std::get<HttpResponse>(outcome).body, body) << allocations;
        }
    }
    EXPECT_FALSE(hasFailed);
    EXPECT_GT(allocations, 2);
    loop.stop();
}

// Guards against a call that ends at its timeout only, because there was no memory for a part of it.
TEST(HttpClient, CallsEndAfterFailedAllocations)
{
    EchoServer server;
    EventLoop loop;
    loop.start();
    HttpClient client(loop.context(), ClientConnectionSettings {});
    bool hasFailed = true;
    size_t allocations = 0;
    for (; hasFailed && allocations < 4 * maxAllocations; ++allocations) {
        std::promise<std::optional<HttpOutcome>> outcome;
        loop.post([&] {
            failAllocation(allocations);
            try {
                client.call(parseEndpoint(server.address).value(), { "GET", "/", { { "Host", "a" } }, {}, false },
                    milliseconds(5000), [&](HttpOutcome result) { outcome.set_value(std::move(result)); });
            } catch (const std::bad_alloc&) {
                outcome.set_value(std::nullopt);
            }
        });
        const auto result = outcome.get_future().get();
        std::promise<void> done;
        loop.post([&] {
            hasFailed = endFailingAllocation();
            done.set_value();
        });
        done.get_future().wait();
        if (const auto* failure = result ? std::get_if<CallFailed>(&*result) : nullptr) {
            EXPECT_NE(failure->error.kind, ErrorKind::Timeout) << allocations;
        }
    }
    EXPECT_FALSE(hasFailed);
    loop.stop();
}

#endif

// Guards against a request that goes on until its timeout because the handler of a part of the response has thrown.
TEST(ClientConnection, FailsWhenTheHandlerOfAResponseThrows)
{
    EchoServer server;
    EventLoop loop;
    const ClientConnectionSettings settings;
    const auto connection
        = std::make_shared<ClientConnection>(loop.context(), parseEndpoint(server.address).value(), settings);
    std::promise<CallFailed> failed;
    loop.post([&] {
        connection->send(encodeRequest({ "GET", "/", { { "Host", "a" } }, {}, false }), false, [&](ClientEvent event) {
            if (const auto* failure = std::get_if<CallFailed>(&event))
                failed.set_value(*failure);
            else
                throw std::runtime_error("test");
        });
    });
    loop.start();
    auto failure = failed.get_future();
    ASSERT_EQ(failure.wait_for(waitTimeout), std::future_status::ready);
    EXPECT_TRUE(failure.get().wasSent);
    loop.stop();
}

// Guards against a request that is lost because the handler of the one before it on the connection has thrown.
TEST(ClientConnection, NextRequestGoesOnAfterTheHandlerOfACompleteResponseThrew)
{
    EchoServer server;
    EventLoop loop;
    const ClientConnectionSettings settings;
    const auto connection
        = std::make_shared<ClientConnection>(loop.context(), parseEndpoint(server.address).value(), settings);
    const auto request = encodeRequest({ "GET", "/", { { "Host", "a" } }, {}, false });
    std::promise<bool> isSecondComplete;
    const auto onSecond = [&](const ClientEvent& event) {
        if (std::holds_alternative<ResponseComplete>(event) || std::holds_alternative<CallFailed>(event))
            isSecondComplete.set_value(std::holds_alternative<ResponseComplete>(event));
    };
    loop.post([&] {
        connection->send(request, false, [&](const ClientEvent& event) {
            if (!std::holds_alternative<ResponseComplete>(event))
                return;
            connection->send(request, false, onSecond);
            throw std::runtime_error("test");
        });
    });
    loop.start();
    auto result = isSecondComplete.get_future();
    ASSERT_EQ(result.wait_for(waitTimeout), std::future_status::ready);
    EXPECT_TRUE(result.get());
    loop.stop();
}

#include <Tests/HttpTests/HttpTestServers.h>

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

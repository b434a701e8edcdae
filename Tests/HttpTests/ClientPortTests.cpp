#include <Tests/HttpTests/HttpTestServers.h>
#include <Tests/Support/ClientPortServer.h>

#include <Cyclamenstair/Http/HttpExchange.h>

#include <future>

using namespace cyclamenstair;

// Guards against a node that cannot bind a port because a connection of its predecessor, open or closed, still holds
// it.
TEST(ClientPort, ListenerCanBindPortOfClientConnection)
{
    cyclamenstair::testing::ClientPortServer server;
    BlockingClient client;
    std::future<HttpOutcome> outcome;
    EXPECT_TRUE(server.canListenAtClientPort(
        [&] {
            outcome = std::async(std::launch::async,
                [&] { return client.call(server.address(), makeHttpRequest("GET", "/"), milliseconds(200)); });
        },
        [&] { outcome.wait(); }));
}

TEST(ClientPort, ListenerCanBindPortOfHttpExchange)
{
    cyclamenstair::testing::ClientPortServer server;
    std::unique_ptr<HttpExchange> exchange;
    std::future<HttpOutcome> outcome;
    EXPECT_TRUE(server.canListenAtClientPort(
        [&] {
            exchange = std::make_unique<HttpExchange>(server.address(), HttpExchangeLimits {});
            outcome = std::async(std::launch::async, [&] { return exchange->call(makeHttpRequest("GET", "/")); });
        },
        [&] {
            exchange->cancel();
            outcome.wait();
            exchange.reset();
        }));
}

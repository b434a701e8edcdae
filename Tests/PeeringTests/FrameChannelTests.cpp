#include <Tests/Support/ClientPortServer.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Http/EventLoop.h>
#include <Cyclamenstair/Peering/FrameChannel.h>

#include <gtest/gtest.h>

using namespace cyclamenstair;

// Guards against a node that cannot bind a port because a channel of its predecessor, open or closed, still holds it.
TEST(FrameChannel, ListenerCanBindPortOfChannel)
{
    cyclamenstair::testing::ClientPortServer server;
    EventLoop loop;
    loop.start();
    std::shared_ptr<FrameChannel> channel;
    EXPECT_TRUE(server.canListenAtClientPort(
        [&] {
            channel = std::make_shared<FrameChannel>(
                boost::asio::ip::tcp::socket(loop.context()), FrameChannel::Handlers {});
            loop.post([&] { channel->connect(parseEndpoint(server.address()).value()); });
        },
        [&] { loop.post([&] { channel->close(); }); }));
    loop.stop();
}

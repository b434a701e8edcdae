#include <Tests/Support/ClientPortServer.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Http/EventLoop.h>
#include <Cyclamenstair/Peering/FrameChannel.h>

#include <gtest/gtest.h>

#include <future>

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

// Guards against a channel that stays open but is never read again because the handler of a frame has thrown, so that
// the nodes do not connect anew.
TEST(FrameChannel, ClosesWhenTheHandlerOfAFrameThrows)
{
    EventLoop loop;
    boost::asio::ip::tcp::acceptor acceptor(loop.context(), { boost::asio::ip::address_v4::loopback(), 0 });
    std::shared_ptr<FrameChannel> receiver;
    std::promise<void> receiverClosed;
    std::promise<void> senderClosed;
    acceptor.async_accept([&](const boost::system::error_code&, boost::asio::ip::tcp::socket socket) {
        receiver = std::make_shared<FrameChannel>(std::move(socket),
            FrameChannel::Handlers { [](const auto&, const std::string&) { throw std::runtime_error("test"); },
                [&] { receiverClosed.set_value(); } });
        receiver->start();
    });
    auto sender = std::make_shared<FrameChannel>(boost::asio::ip::tcp::socket(loop.context()),
        FrameChannel::Handlers { [](const auto&, const std::string&) {}, [&] { senderClosed.set_value(); } });
    loop.post([&] {
        sender->connect(acceptor.local_endpoint());
        sender->send("frame");
    });
    loop.start();
    constexpr auto waitTimeout = std::chrono::seconds(10);
    EXPECT_EQ(receiverClosed.get_future().wait_for(waitTimeout), std::future_status::ready);
    EXPECT_EQ(senderClosed.get_future().wait_for(waitTimeout), std::future_status::ready);
    loop.stop();
}

#include <Cyclamenstair/Transport/PeerServer.h>

#include <Tests/Support/ClientPortServer.h>

#include <future>
#include <gtest/gtest.h>

namespace cyclamenstair {
namespace {

    const std::string fleetKey = "0123456789abcdef";

    std::unique_ptr<PeerServer> startServer()
    {
        PeerServerSettings settings;
        settings.node = "server";
        settings.fleetKey = fleetKey;
        settings.timeout = milliseconds(500);
        return PeerServer::create(settings, [](const PeerMessage& request, const std::string&) {
            return request;
        }).value();
    }

    std::string addressOf(const PeerServer& server) { return "127.0.0.1:" + std::to_string(server.port()); }

    // Guards against frame numbers that differ between the two sides after the first message.
    TEST(FrameSocket, SendsAndReceivesMessages)
    {
        const auto server = startServer();
        auto socket = FrameSocket::connect(addressOf(*server), "client", fleetKey, milliseconds(2000));
        ASSERT_TRUE(socket) << socket.error().describe();
        EXPECT_EQ(socket.value().peerNode(), "server");
        for (uint64_t revision = 1; revision <= 3; ++revision) {
            socket.value().send(PlanFetchRequestMessage { revision });
            EXPECT_EQ(std::get<PlanFetchRequestMessage>(socket.value().receive()).baseRevision, revision);
        }
    }

    // Guards against a node that cannot bind a port because a connection of its predecessor still holds it.
    TEST(FrameSocket, ListenerCanBindPortOfClientSocket)
    {
        testing::ClientPortServer server;
        std::future<Result<FrameSocket>> connected;
        EXPECT_TRUE(server.canListenAtClientPort(
            [&] {
                connected = std::async(std::launch::async,
                    [&] { return FrameSocket::connect(server.address(), "client", fleetKey, milliseconds(200)); });
            },
            [&] { connected.wait(); }));
    }

    // Guards against a node of another fleet that is accepted as a peer.
    TEST(FrameSocket, RejectsPeerWithDifferentFleetKey)
    {
        const auto server = startServer();
        const auto socket = FrameSocket::connect(addressOf(*server), "client", "fedcba9876543210", milliseconds(2000));
        EXPECT_FALSE(socket);
    }

    // Guards against an error that does not say which peer could not be reached.
    TEST(FrameSocket, ReportsStepAndAddressOfUnreachablePeer)
    {
        const auto socket = FrameSocket::connect("127.0.0.1:1", "client", fleetKey, milliseconds(500));
        ASSERT_FALSE(socket);
        EXPECT_EQ(socket.error().step, "peer.connect");
        EXPECT_EQ(socket.error().peer, "127.0.0.1:1");
    }

    // Guards against a frame that the peer would reject by closing the connection.
    TEST(FrameSocket, RejectsMessageLargerThanFrame)
    {
        const auto server = startServer();
        auto socket = FrameSocket::connect(addressOf(*server), "client", fleetKey, milliseconds(2000));
        ASSERT_TRUE(socket);
        EXPECT_THROW(
            socket.value().send(PlanFetchResponseMessage { 1, {}, std::string(FrameSocket::maxFrameBytes + 1, 'x') }),
            Exception);
    }

} // namespace
} // namespace cyclamenstair

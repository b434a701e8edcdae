#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Transport/PeerServer.h>

#include <arpa/inet.h>
#include <atomic>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cyclamenstair {
namespace {

    const std::string fleetKey = "0123456789abcdef";

    class HostilePeer : public testing::Test {
    protected:
        HostilePeer()
        {
            PeerServerSettings settings;
            settings.node = "server";
            settings.fleetKey = fleetKey;
            settings.timeout = milliseconds(300);
            m_server = PeerServer::create(settings, [this](const PeerMessage& request, const std::string&) {
                ++m_handledRequests;
                return request;
            }).value();
        }

        SocketHandle connectRaw() const
        {
            SocketHandle handle(::socket(AF_INET, SOCK_STREAM, 0));
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<uint16_t>(m_server->port()));
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            EXPECT_EQ(::connect(handle.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
            return handle;
        }

        static void sendRaw(const SocketHandle& handle, const std::string& bytes)
        {
            ::send(handle.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        }

        /// Reads until the server closes the connection; returns whether it did so within 5 s.
        static bool isClosedByServer(const SocketHandle& handle)
        {
            timeval receiveTimeout { 5, 0 };
            setsockopt(handle.descriptor(), SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof(receiveTimeout));
            char buffer[4096];
            ssize_t count = 0;
            while ((count = ::recv(handle.descriptor(), buffer, sizeof(buffer), 0)) > 0) { }
            return count == 0 || errno == ECONNRESET;
        }

        void expectServing() const
        {
            auto socket = FrameSocket::connect(
                "127.0.0.1:" + std::to_string(m_server->port()), "client", fleetKey, milliseconds(3000));
            ASSERT_TRUE(socket) << socket.error().describe();
            socket.value().send(PlanFetchRequestMessage { 5 });
            EXPECT_EQ(std::get<PlanFetchRequestMessage>(socket.value().receive()).baseRevision, 5U);
        }

        std::atomic<int> m_handledRequests { 0 };
        std::unique_ptr<PeerServer> m_server;
    };

    // Guards against a crash or a blocked thread on bytes that are not a frame.
    TEST_F(HostilePeer, ArbitraryBytesCloseTheConnection)
    {
        Random random(7);
        for (int i = 0; i < 12; ++i) {
            const auto handle = connectRaw();
            std::string bytes(1 + randomIndex(random, 200), '\0');
            for (auto& byte : bytes)
                byte = static_cast<char>(random());
            sendRaw(handle, bytes);
            EXPECT_TRUE(isClosedByServer(handle));
        }
        EXPECT_EQ(m_handledRequests, 0);
        expectServing();
    }

    // Guards against memory that is allocated for the length in an unauthenticated frame.
    TEST_F(HostilePeer, OversizedLengthClosesTheConnectionImmediately)
    {
        const auto handle = connectRaw();
        sendRaw(handle, std::string("\xff\xff\xff\xff", 4) + std::string(32, 'x'));
        EXPECT_TRUE(isClosedByServer(handle));
        expectServing();
    }

    // Guards against idle peers that occupy all server threads forever.
    TEST_F(HostilePeer, IdlePeersDoNotBlockOthers)
    {
        std::vector<SocketHandle> idleConnections;
        for (int i = 0; i < 8; ++i)
            idleConnections.push_back(connectRaw());
        expectServing();
    }

    // Guards against frames of one connection that are accepted when replayed in another one.
    TEST_F(HostilePeer, ReplayedFramesAreRejected)
    {
        // A relay between an authentic client and the server records the bytes that the client sends.
        std::string recorded;
        SocketHandle listener(::socket(AF_INET, SOCK_STREAM, 0));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ASSERT_EQ(::bind(listener.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
        ASSERT_EQ(::listen(listener.descriptor(), 1), 0);
        socklen_t size = sizeof(address);
        getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
        std::thread relay([&] {
            SocketHandle client(::accept(listener.descriptor(), nullptr, nullptr));
            const auto server = connectRaw();
            std::thread responseThread([&] {
                char buffer[4096];
                ssize_t count = 0;
                while ((count = ::recv(server.descriptor(), buffer, sizeof(buffer), 0)) > 0)
                    sendRaw(client, std::string(buffer, static_cast<size_t>(count)));
            });
            char buffer[4096];
            ssize_t count = 0;
            while ((count = ::recv(client.descriptor(), buffer, sizeof(buffer), 0)) > 0) {
                recorded.append(buffer, static_cast<size_t>(count));
                sendRaw(server, std::string(buffer, static_cast<size_t>(count)));
            }
            ::shutdown(server.descriptor(), SHUT_RDWR);
            responseThread.join();
        });
        {
            auto socket = FrameSocket::connect(
                "127.0.0.1:" + std::to_string(ntohs(address.sin_port)), "client", fleetKey, milliseconds(3000));
            ASSERT_TRUE(socket) << socket.error().describe();
            socket.value().send(PlanFetchRequestMessage { 1 });
            socket.value().receive();
        }
        relay.join();
        ASSERT_EQ(m_handledRequests, 1);

        const auto handle = connectRaw();
        sendRaw(handle, recorded);
        EXPECT_TRUE(isClosedByServer(handle));
        EXPECT_EQ(m_handledRequests, 1);
    }

} // namespace
} // namespace cyclamenstair

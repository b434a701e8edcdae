#include <StandIns/LoopbackPort.h>

#include <gtest/gtest.h>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

namespace cyclamenstair {
namespace {

    constexpr int portsPerProcess = 250;

    // Guards against allocating a port that the system can assign to an outgoing connection before the server binds it.
    TEST(LoopbackPort, IsBelowEphemeralPortRange)
    {
        std::set<uint16_t> ports;
        for (int i = 0; i < portsPerProcess; ++i) {
            const auto port = allocateLoopbackPort();
            EXPECT_LT(port, 32768);
            EXPECT_TRUE(ports.insert(port).second) << port << " was allocated twice";
        }
    }

    // Guards against test programs that run concurrently and allocate the same port for two servers.
    TEST(LoopbackPort, IsUniqueAcrossProcesses)
    {
        constexpr int processCount = 6;
        int pipeEnds[2];
        ASSERT_EQ(::pipe(pipeEnds), 0);
        std::set<uint16_t> ports;
        for (int i = 0; i < portsPerProcess; ++i)
            ports.insert(allocateLoopbackPort());
        for (int i = 0; i < processCount; ++i) {
            const auto child = ::fork();
            ASSERT_GE(child, 0);
            if (child != 0)
                continue;
            // A child first uses up its copy of the parent's block; only the ports allocated after that are compared.
            for (int k = 0; k < portsPerProcess; ++k) {
                const auto port = allocateLoopbackPort();
                if (k >= portsPerProcess / 2 && ::write(pipeEnds[1], &port, sizeof(port)) != sizeof(port))
                    ::_exit(1);
            }
            // Keeps the blocks reserved until all processes have allocated their ports.
            ::usleep(500000);
            ::_exit(0);
        }
        for (int i = 0; i < processCount * (portsPerProcess - portsPerProcess / 2); ++i) {
            uint16_t port = 0;
            ASSERT_EQ(::read(pipeEnds[0], &port, sizeof(port)), static_cast<ssize_t>(sizeof(port)));
            EXPECT_TRUE(ports.insert(port).second) << port << " was allocated twice";
        }
        while (::wait(nullptr) > 0) { }
        ::close(pipeEnds[0]);
        ::close(pipeEnds[1]);
    }

} // namespace
} // namespace cyclamenstair

#include <StandIns/LoopbackPort.h>

#include <gtest/gtest.h>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

namespace cyclamenstair {
namespace {

    constexpr int portsPerProcess = 250;

    // Guards against a port that the system gives to an outgoing connection before its server binds it.
    TEST(LoopbackPort, LiesOutsideTheRangeOfOutgoingConnections)
    {
        std::set<uint16_t> ports;
        for (int i = 0; i < portsPerProcess; ++i) {
            const auto port = freeLoopbackPort();
            EXPECT_LT(port, 32768);
            EXPECT_TRUE(ports.insert(port).second) << port << " was given out twice";
        }
    }

    // Guards against test programs that run at once and choose the same port for two servers.
    TEST(LoopbackPort, IsNotSharedByProcesses)
    {
        constexpr int processes = 6;
        int channel[2];
        ASSERT_EQ(::pipe(channel), 0);
        std::set<uint16_t> ports;
        for (int i = 0; i < portsPerProcess; ++i)
            ports.insert(freeLoopbackPort());
        for (int i = 0; i < processes; ++i) {
            const auto child = ::fork();
            ASSERT_GE(child, 0);
            if (child != 0)
                continue;
            // The copy of the parent's block runs out first, so enough ports for blocks of the child's own are asked
            // for.
            for (int k = 0; k < portsPerProcess; ++k) {
                const auto port = freeLoopbackPort();
                if (k >= portsPerProcess / 2 && ::write(channel[1], &port, sizeof(port)) != sizeof(port))
                    ::_exit(1);
            }
            // The claims last until all processes have chosen.
            ::usleep(500000);
            ::_exit(0);
        }
        for (int i = 0; i < processes * (portsPerProcess - portsPerProcess / 2); ++i) {
            uint16_t port = 0;
            ASSERT_EQ(::read(channel[0], &port, sizeof(port)), static_cast<ssize_t>(sizeof(port)));
            EXPECT_TRUE(ports.insert(port).second) << port << " was given out twice";
        }
        while (::wait(nullptr) > 0) { }
        ::close(channel[0]);
        ::close(channel[1]);
    }

} // namespace
} // namespace cyclamenstair

#include <Tests/Support/ProcessFleet.h>

#include <StandIns/LoopbackPort.h>

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sstream>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cyclamenstair::testing {
namespace {

    constexpr int waitTimeoutMs = 20000;

    /// Listening or connected socket. Without SO_REUSEADDR, as other programs have them.
    class PlainSocket {
    public:
        PlainSocket()
            : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        {
        }
        ~PlainSocket() { ::close(m_descriptor); }
        PlainSocket(const PlainSocket&) = delete;
        PlainSocket& operator=(const PlainSocket&) = delete;

        bool bind(int port) const
        {
            const auto address = loopback(port);
            return ::bind(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        }
        bool listen() const { return ::listen(m_descriptor, 8) == 0; }
        bool connect(int port) const
        {
            const auto address = loopback(port);
            return ::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        }

    private:
        static sockaddr_in loopback(int port)
        {
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<uint16_t>(port));
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            return address;
        }

        int m_descriptor;
    };

    /// Settings of a node in mode Registered, and its processes.
    class StartRetry : public ::testing::Test {
    protected:
        StartRetry()
        {
            char name[] = "/tmp/cyclamenstair-start-XXXXXX";
            m_folder = ::mkdtemp(name);
            writeSettings(m_callerPort);
        }
        ~StartRetry() override { std::filesystem::remove_all(m_folder); }

        void writeSettings(int callerPort) const
        {
            const std::string host = "127.0.0.1:";
            std::ofstream(settingsPath())
                << "[node]\nmode = Registered\nid = node-1\n[entry]\nlisten = " << host << callerPort
                << "\nready_listen = " << host << m_probePort << "\npeer_listen = " << host << m_peerPort
                << "\ngrace_s = 4\n[control]\nstore = " << host << m_storePort << "\n";
        }

        std::string settingsPath() const { return m_folder + "/settings.ini"; }

        std::unique_ptr<ChildProcess> startNode(const std::string& name = "node") const
        {
            return std::make_unique<ChildProcess>("Programs/cyclamenstaird",
                std::vector<std::string> { "--config", settingsPath() }, m_folder + "/" + name);
        }

        std::string log(const std::string& name = "node") const
        {
            std::ostringstream text;
            text << std::ifstream(m_folder + "/" + name).rdbuf();
            return text.str();
        }

        size_t lineCount(const std::string& event) const
        {
            const auto text = log();
            size_t count = 0;
            for (auto at = text.find("event=" + event); at != std::string::npos;
                 at = text.find("event=" + event, at + 1))
                ++count;
            return count;
        }

        static bool eventually(const std::function<bool()>& condition)
        {
            const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitTimeoutMs);
            while (!condition()) {
                if (std::chrono::steady_clock::now() > end)
                    return false;
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
            return true;
        }

        static bool isServing(int port)
        {
            httplib::Client client("127.0.0.1", port);
            return static_cast<bool>(client.Get("/cyclamenstair/readiness"));
        }

        int m_callerPort { allocateLoopbackPort() };
        int m_probePort { allocateLoopbackPort() };
        int m_peerPort { allocateLoopbackPort() };
        int m_storePort { allocateLoopbackPort() };
        std::string m_folder;
    };

    // Guards against a thread that spins while a node has no file descriptors left for connections of other nodes.
    TEST_F(StartRetry, NodeWithoutDescriptorsDoesNotSpin)
    {
        const auto node = startNode();
        ASSERT_TRUE(eventually([&] { return isServing(m_probePort); }));
        const rlimit none { 3, 3 };
        ASSERT_EQ(::prlimit(node->id(), RLIMIT_NOFILE, &none, nullptr), 0);
        const auto processorTicks = [&] {
            std::ifstream stat("/proc/" + std::to_string(node->id()) + "/stat");
            std::string field;
            long ticks = 0;
            for (int i = 1; i <= 15 && stat >> field; ++i)
                ticks += i >= 14 ? std::stol(field) : 0;
            return ticks;
        };
        const std::array<PlainSocket, 3> connections;
        for (const auto& connection : connections)
            ASSERT_TRUE(connection.connect(m_peerPort));
        const auto before = processorTicks();
        const auto start = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(std::chrono::seconds(2));
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
        const auto used = static_cast<double>(processorTicks() - before) / static_cast<double>(::sysconf(_SC_CLK_TCK));
        EXPECT_LT(used / elapsed.count(), 0.2);
        EXPECT_NE(log().find("accept_failed"), std::string::npos) << log();
    }

} // namespace
} // namespace cyclamenstair::testing

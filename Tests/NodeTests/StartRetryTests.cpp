#include <Tests/NodeTests/StartFixture.h>

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cyclamenstair::testing {
namespace {

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

    class StartRetry : public StartFixture { };

    // Guards against a start that fails for good because a port is held for a while, and against a node that takes
    // connections at its other ports meanwhile.
    TEST_F(StartRetry, StartWaitsForPortInUse)
    {
        for (int* port : { &m_callerPort, &m_probePort, &m_peerPort }) {
            // A port of the node before may still have connections in TIME_WAIT.
            *port = allocateLoopbackPort();
            writeSettings(m_callerPort);
            auto holder = std::make_unique<PlainSocket>();
            ASSERT_TRUE(holder->bind(*port));
            const auto node = startNode();
            ASSERT_TRUE(eventually([&] { return lineCount("node_start_retried") == 1 || node->hasExited(); }));
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
            ASSERT_FALSE(node->hasExited()) << log();
            for (const int other : { m_callerPort, m_probePort, m_peerPort })
                EXPECT_FALSE(PlainSocket().connect(other));
            EXPECT_EQ(lineCount("node_start_retried"), 1U) << log();
            holder.reset();
            EXPECT_TRUE(eventually([&] { return isServing(m_probePort) || node->hasExited(); }));
            EXPECT_FALSE(node->hasExited());
            std::filesystem::remove(m_folder + "/node");
        }
    }

    // Guards against a successor that ends because its predecessor still finishes its requests.
    TEST_F(StartRetry, SuccessorStartsWhenItsPredecessorEnds)
    {
        const auto predecessor = startNode();
        ASSERT_TRUE(eventually([&] { return isServing(m_probePort); }));
        predecessor->sendSignal(SIGTERM);
        const auto successor = startNode("successor");
        EXPECT_EQ(predecessor->wait(waitTimeoutMs), 0);
        EXPECT_TRUE(eventually([&] { return isServing(m_probePort) || successor->hasExited(); }));
        EXPECT_FALSE(successor->hasExited()) << log("successor");
    }

    // Guards against a process that cannot be stopped, or does not follow its settings, while its start is retried.
    TEST_F(StartRetry, SignalsActBetweenAttempts)
    {
        const PlainSocket holder;
        ASSERT_TRUE(holder.bind(m_callerPort));
        const auto node = startNode();
        ASSERT_TRUE(eventually([&] { return lineCount("node_start_retried") == 1 || node->hasExited(); }));
        writeSettings(allocateLoopbackPort());
        node->sendSignal(SIGHUP);
        EXPECT_TRUE(eventually([&] { return isServing(m_probePort) || node->hasExited(); })) << log();
        EXPECT_FALSE(node->hasExited()) << log();
        const auto blocked = startNode("blocked");
        ASSERT_TRUE(eventually([&] { return !log("blocked").empty(); }));
        blocked->sendSignal(SIGTERM);
        EXPECT_EQ(blocked->wait(waitTimeoutMs), 0);
        EXPECT_NE(log("blocked").find("event=node_start_cancelled"), std::string::npos) << log("blocked");
    }

    // Guards against a start that goes on with settings that have been replaced since, of which no signal tells.
    TEST_F(StartRetry, ChangedSettingsActBetweenAttemptsWithoutSignal)
    {
        const PlainSocket holder;
        ASSERT_TRUE(holder.bind(m_callerPort));
        const auto node = startNode();
        ASSERT_TRUE(eventually([&] { return lineCount("node_start_retried") == 1 || node->hasExited(); }));
        writeSettings("[node]\nmode = Registered\n");
        EXPECT_TRUE(eventually([&] { return lineCount("settings_not_reloaded") > 0 || node->hasExited(); })) << log();
        writeSettings(allocateLoopbackPort());
        EXPECT_TRUE(eventually([&] { return isServing(m_probePort) || node->hasExited(); })) << log();
        EXPECT_FALSE(node->hasExited()) << log();
        EXPECT_EQ(lineCount("settings_not_reloaded"), 1U) << log();
        EXPECT_EQ(lineCount("settings_reloaded"), 1U) << log();
    }

    // Guards against a running node that ends because of a settings file that it cannot read.
    TEST_F(StartRetry, NodeKeepsRunningAfterReloadOfUnreadableSettings)
    {
        const auto node = startNode();
        ASSERT_TRUE(eventually([&] { return isServing(m_probePort); }));
        size_t reloads = 0;
        for (const auto* text : { "[node]\nid = n\xff\n", "[node\n", "" }) {
            std::ofstream(settingsPath()) << text;
            node->sendSignal(SIGHUP);
            ++reloads;
            const auto hasReloaded
                = [&] { return lineCount("settings_not_reloaded") + lineCount("settings_reloaded") == reloads; };
            ASSERT_TRUE(eventually([&] { return hasReloaded() || node->hasExited(); }));
            ASSERT_FALSE(node->hasExited()) << log();
        }
        EXPECT_TRUE(isServing(m_probePort));
    }

    // Guards against a malformed setting that is retried instead of reported.
    TEST_F(StartRetry, MalformedAddressEndsTheStart)
    {
        std::ofstream(settingsPath()) << "[node]\nmode = Registered\nid = node-1\n[entry]\nlisten = nowhere\n"
                                         "ready_listen = 127.0.0.1:1\n[control]\nstore = 127.0.0.1:1\n";
        const auto node = startNode();
        EXPECT_EQ(node->wait(waitTimeoutMs), 1);
        EXPECT_EQ(lineCount("node_start_retried"), 0U);
        EXPECT_EQ(lineCount("node_not_started"), 1U);
    }

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    // Guards against a start, or an end during the start, that fails because no thread can be started for a while. The
    // limits leave no room for the stack of the log's thread or of later ones; sanitizers need more memory themselves.
    TEST_F(StartRetry, StartWaitsForThreads)
    {
        // A shell sets the limit: this process may have more memory than it allows.
        const auto shell = std::filesystem::relative("/bin/sh", CYCLAMENSTAIR_BINARY_DIR).string();
        const auto daemon = std::string(CYCLAMENSTAIR_BINARY_DIR) + "/Programs/cyclamenstaird";
        const auto start = [&](rlim_t megabytes, const std::string& name) {
            const auto limit = std::to_string(megabytes * 1024);
            return std::make_unique<ChildProcess>(shell,
                std::vector<std::string> {
                    "-c", "ulimit -S -d " + limit + " && exec \"$0\" \"$@\"", daemon, "--config", settingsPath() },
                m_folder + "/" + name);
        };
        for (const rlim_t megabytes : { 4, 16 }) {
            const auto node = start(megabytes, "node");
            const auto cancelled = start(megabytes, "cancelled");
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
            ASSERT_FALSE(node->hasExited()) << log();
            cancelled->sendSignal(SIGTERM);
            EXPECT_EQ(cancelled->wait(waitTimeoutMs), 0) << log("cancelled");
            rlimit limit {};
            ASSERT_EQ(::prlimit(node->id(), RLIMIT_DATA, nullptr, &limit), 0);
            EXPECT_EQ(limit.rlim_cur, megabytes << 20);
            limit.rlim_cur = limit.rlim_max;
            ASSERT_EQ(::prlimit(node->id(), RLIMIT_DATA, &limit, nullptr), 0);
            EXPECT_TRUE(eventually([&] { return isServing(m_probePort) || node->hasExited(); })) << log();
            EXPECT_FALSE(node->hasExited()) << log();
        }
    }
#endif

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

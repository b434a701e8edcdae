#include <Tests/Support/ProcessFleet.h>

#include <StandIns/LoopbackPort.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace cyclamenstair::testing {
namespace {

    constexpr int waitTimeoutMs = 20000;

    /// One process of mode Registered without a store, in a folder of its own.
    class FailureAtEnd : public ::testing::Test {
    protected:
        FailureAtEnd()
        {
            char name[] = "/tmp/cyclamenstair-end-XXXXXX";
            m_folder = ::mkdtemp(name);
            const std::string host = "127.0.0.1:";
            std::ofstream(settingsPath())
                << "[node]\nmode = Registered\nid = node-1\n[entry]\nlisten = " << host << allocateLoopbackPort()
                << "\nready_listen = " << host << allocateLoopbackPort() << "\ngrace_s = 4\n[control]\nstore = " << host
                << allocateLoopbackPort() << "\n";
        }
        ~FailureAtEnd() override { std::filesystem::remove_all(m_folder); }

        std::string settingsPath() const { return m_folder + "/settings.ini"; }

        std::unique_ptr<ChildProcess> startNode(const std::string& program = "Programs/cyclamenstaird") const
        {
            auto process = std::make_unique<ChildProcess>(
                program, std::vector<std::string> { "--config", settingsPath() }, m_folder + "/log");
            EXPECT_TRUE(waitForLine("node_started"));
            return process;
        }

        std::string log() const
        {
            std::ostringstream text;
            text << std::ifstream(m_folder + "/log").rdbuf();
            return text.str();
        }

        bool waitForLine(const std::string& event) const
        {
            for (int waitedMs = 0; waitedMs < waitTimeoutMs; waitedMs += 10) {
                if (log().find("event=" + event) != std::string::npos)
                    return true;
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
            return false;
        }

    private:
        std::string m_folder;
    };

    // Guards against a running node that ends because it cannot reload its settings for lack of memory.
    TEST_F(FailureAtEnd, ReloadWithoutMemoryDoesNotEndTheNode)
    {
        const auto node = startNode();
        std::ifstream statm("/proc/" + std::to_string(node->id()) + "/statm");
        rlim_t pages = 0;
        statm >> pages;
        const rlim_t bytes = pages * static_cast<rlim_t>(::sysconf(_SC_PAGESIZE)) + (64U << 20U);
        const rlimit limit { bytes, bytes };
        ASSERT_EQ(::prlimit(node->id(), RLIMIT_AS, &limit, nullptr), 0);
        std::filesystem::resize_file(settingsPath(), 40U << 20U);
        node->sendSignal(SIGHUP);
        EXPECT_TRUE(waitForLine("settings_not_reloaded")) << log();
        EXPECT_FALSE(node->hasExited());
        node->sendSignal(SIGTERM);
        EXPECT_EQ(node->wait(waitTimeoutMs), 0) << log();
    }

    // Guards against an end with a failure status after a graceful shutdown, because the thread that waits for the log
    // cannot be started.
    TEST_F(FailureAtEnd, EndsInOrderWithoutAThreadForTheLog)
    {
        // The thread of the log, two request loops and the control loop.
        ::setenv("CYCLAMENSTAIR_TEST_THREADS", "4", 1);
        const auto node = startNode("Tests/cyclamenstaird-with-thread-limit");
        ::unsetenv("CYCLAMENSTAIR_TEST_THREADS");
        node->sendSignal(SIGTERM);
        EXPECT_EQ(node->wait(waitTimeoutMs), 0) << log();
        EXPECT_NE(log().find("event=node_stopped"), std::string::npos) << log();
    }

} // namespace
} // namespace cyclamenstair::testing

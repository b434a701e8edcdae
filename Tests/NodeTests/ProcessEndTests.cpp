#include <Tests/Support/ProcessFleet.h>

#include <Cyclamenstair/Core/Crypto.h>
#include <StandIns/LoopbackPort.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <spawn.h>
#include <sstream>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace cyclamenstair::testing {
namespace {

    using ::testing::ContainsRegex;
    using ::testing::HasSubstr;
    using ::testing::Not;

    constexpr int waitTimeoutMs = 20000;

    /// Daemon in mode Registered without a store.
    class ProcessEnd : public ::testing::Test {
    protected:
        ProcessEnd()
        {
            char name[] = "/tmp/cyclamenstair-end-XXXXXX";
            m_folder = ::mkdtemp(name);
            const std::string host = "127.0.0.1:";
            std::ofstream(settingsPath())
                << "[node]\nmode = Registered\nid = node-1\n[entry]\nlisten = " << host << m_callerPort
                << "\nready_listen = " << host << allocateLoopbackPort() << "\ngrace_s = 2\n[control]\nstore = " << host
                << allocateLoopbackPort() << "\n";
        }
        ~ProcessEnd() override { std::filesystem::remove_all(m_folder); }

        std::string settingsPath() const { return m_folder + "/settings.ini"; }

        std::unique_ptr<ChildProcess> start(const std::vector<std::string>& arguments) const
        {
            return std::make_unique<ChildProcess>("Programs/cyclamenstaird", arguments, m_folder + "/log");
        }

        std::string log() const
        {
            std::ostringstream text;
            text << std::ifstream(m_folder + "/log").rdbuf();
            return text.str();
        }

        /// Waits until the log contains `text`.
        bool logContains(const std::string& text) const
        {
            const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitTimeoutMs);
            while (log().find(text) == std::string::npos) {
                if (std::chrono::steady_clock::now() > end)
                    return false;
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
            return true;
        }

        /// Limits the size of the files that the process writes.
        static void setMaxFileBytes(const ChildProcess& process, rlim_t bytes)
        {
            const rlimit limit { bytes, RLIM_INFINITY };
            EXPECT_EQ(::prlimit(process.id(), RLIMIT_FSIZE, &limit, nullptr), 0);
        }

        int m_callerPort { allocateLoopbackPort() };
        std::string m_folder;
    };

    // Guards against an end whose reason the log does not tell.
    TEST_F(ProcessEnd, StopIsReported)
    {
        const auto process = start({ "--config", settingsPath() });
        ASSERT_TRUE(logContains("event=node_started")) << log();
        process->sendSignal(SIGTERM);
        EXPECT_EQ(process->wait(waitTimeoutMs), 0);
        EXPECT_THAT(log(),
            ContainsRegex("event=node_stopped .*\ntime=[^ ]+Z level=info event=process_ended reason=stopped status=0 "
                          "uptime_ms=[0-9]+ pid=[0-9]+ build=0\\.1\\.0-[^ ]+\n$"));
        EXPECT_THAT(log(), ContainsRegex("event=node_stopping requests_in_progress=0 signal=SIGTERM\n"));
    }

    // Guards against a start of which the log does not tell the build, the settings and the limits.
    TEST_F(ProcessEnd, StartIsDescribed)
    {
        const auto process = start({ "--config", settingsPath() });
        ASSERT_TRUE(logContains("event=node_started")) << log();
        std::ostringstream settings;
        settings << std::ifstream(settingsPath()).rdbuf();
        EXPECT_THAT(log(), HasSubstr(" pid=" + std::to_string(process->id()) + " "));
        EXPECT_THAT(log(),
            HasSubstr(" attempts=1 settings=" + settingsPath() + " settings_sha256=" + sha256Hex(settings.str())
                + " settings_bytes=" + std::to_string(settings.str().size()) + " limit_as="));
        EXPECT_THAT(log(),
            ContainsRegex("event=node_started node=node-1 .* memory_mb=[0-9]+ build=0\\.1\\.0-[^ ]+ "
                          "arch=[^ ]+ .* limit_nofile=[0-9]+ limit_fsize=[a-z0-9]+\n"));
    }

    TEST_F(ProcessEnd, FailureIsReported)
    {
        std::ofstream(settingsPath()) << "[node]\nmode = Registered\nid = node-1\n[entry]\nlisten = nowhere\n"
                                         "ready_listen = 127.0.0.1:1\n[control]\nstore = 127.0.0.1:1\n";
        EXPECT_EQ(start({ "--config", settingsPath() })->wait(waitTimeoutMs), 1);
        EXPECT_THAT(log(), HasSubstr(" level=error event=process_ended reason=not_started status=1 ")) << log();
    }

    TEST_F(ProcessEnd, InvalidSettingsAndArgumentsAreReported)
    {
        // For a port, no default can stand.
        std::ofstream(settingsPath(), std::ios::app) << "[caller]\nport = soon\n";
        EXPECT_EQ(start({ "--config", settingsPath(), "--settings-wait-s", "0" })->wait(waitTimeoutMs), 2);
        EXPECT_THAT(log(),
            ContainsRegex("\ntime=[^ ]+Z level=error event=process_ended reason=invalid_settings status=2 "
                          "uptime_ms=[0-9]+ pid=[0-9]+ build=[^ ]+ message=\".*port: 'soon' is not a number"));
        EXPECT_EQ(start({ "--no-such-option" })->wait(waitTimeoutMs), 2);
        EXPECT_THAT(log(), HasSubstr("event=process_ended reason=invalid_arguments status=2 "));
        std::filesystem::remove(m_folder + "/log");
        EXPECT_EQ(start({ "--print-defaults" })->wait(waitTimeoutMs), 0);
        EXPECT_THAT(log(), Not(HasSubstr("process_ended")));
    }

    // Guards against a process that ends because the file of its output has reached its limit.
    TEST_F(ProcessEnd, FullOutputFileDoesNotEndTheProcess)
    {
        const auto process = start({ "--config", settingsPath() });
        ASSERT_TRUE(logContains("event=node_started")) << log();
        const auto bytes = std::filesystem::file_size(m_folder + "/log");
        setMaxFileBytes(*process, bytes);
        for (int i = 0; i < 3; ++i) {
            process->sendSignal(SIGHUP);
            EXPECT_EQ(process->wait(100), std::nullopt);
        }
        process->sendSignal(SIGTERM);
        EXPECT_EQ(process->wait(waitTimeoutMs), 0);
    }

    // Guards against sockets with the numbers of the standard descriptors, into which lines of the log are written.
    TEST_F(ProcessEnd, ClosedStandardDescriptorsAreReplaced)
    {
        const auto path = std::string(CYCLAMENSTAIR_BINARY_DIR) + "/Programs/cyclamenstaird";
        const auto settings = settingsPath();
        std::array<char*, 4> arguments { const_cast<char*>(path.c_str()), const_cast<char*>("--config"),
            const_cast<char*>(settings.c_str()), nullptr };
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        for (int descriptor = 0; descriptor <= STDERR_FILENO; ++descriptor)
            posix_spawn_file_actions_addclose(&actions, descriptor);
        pid_t process = -1;
        ASSERT_EQ(posix_spawn(&process, path.c_str(), &actions, nullptr, arguments.data(), environ), 0);
        posix_spawn_file_actions_destroy(&actions);
        httplib::Client client("127.0.0.1", m_callerPort);
        std::string answers;
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitTimeoutMs);
        for (int i = 0; i < 10 && std::chrono::steady_clock::now() < end;) {
            if (const auto response = client.Get("/")) {
                ++i;
                answers += response->body;
                ::kill(process, SIGHUP); // Writes a line of the log.
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        EXPECT_THAT(answers, Not(HasSubstr("event=")));
        for (int descriptor = 0; descriptor <= STDERR_FILENO; ++descriptor) {
            const auto link = "/proc/" + std::to_string(process) + "/fd/" + std::to_string(descriptor);
            std::error_code ec;
            EXPECT_EQ(std::filesystem::read_symlink(link, ec), "/dev/null") << ec.message();
        }
        ::kill(process, SIGTERM);
        int status = 0;
        ::waitpid(process, &status, 0);
        EXPECT_EQ(status, 0);
    }

    // Guards against a process in the background of a terminal that is stopped as it writes its log.
    TEST_F(ProcessEnd, OutputToTerminalDoesNotStopTheProcess)
    {
        const auto process = start({ "--config", settingsPath() });
        ASSERT_TRUE(logContains("event=node_started")) << log();
        uint64_t ignored = 0;
        std::ifstream status("/proc/" + std::to_string(process->id()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("SigIgn:"))
                ignored = std::stoull(line.substr(7), nullptr, 16);
        }
        EXPECT_NE(ignored & (1ULL << (SIGTTOU - 1)), 0U);
    }

#ifndef CYCLAMENSTAIR_SANITIZED
    TEST_F(ProcessEnd, FatalSignalIsReported)
    {
        const auto process = start({ "--config", settingsPath() });
        ASSERT_TRUE(logContains("event=node_started")) << log();
        process->sendSignal(SIGSEGV);
        EXPECT_EQ(process->wait(waitTimeoutMs), 128 + SIGSEGV);
        EXPECT_THAT(log(), HasSubstr(" level=error event=process_ended reason=fatal_signal status=139 ")) << log();
    }
#endif

} // namespace
} // namespace cyclamenstair::testing

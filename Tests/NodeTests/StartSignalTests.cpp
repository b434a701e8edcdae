#include <Tests/Support/ProcessFleet.h>

#include <StandIns/LoopbackPort.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace cyclamenstair::testing {
namespace {

    // Guards against a process that ends because it is told to reload while it still waits for its settings.
    TEST(StartSignals, SignalsBeforeSettingsAreReadAreKept)
    {
        const auto folder = std::filesystem::temp_directory_path() / ("cyclamenstair-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder);
        const auto readLog = [&] {
            std::ostringstream log;
            log << std::ifstream(folder / "log").rdbuf();
            return log.str();
        };
        ChildProcess process("Programs/cyclamenstaird", { "--config", folder / "settings.ini" }, folder / "log");
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (readLog().find("event=settings_not_ready") == std::string::npos) {
            ASSERT_LT(std::chrono::steady_clock::now(), end);
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        process.sendSignal(SIGHUP);
        EXPECT_EQ(process.wait(200), std::nullopt);
        process.sendSignal(SIGTERM);
        EXPECT_EQ(process.wait(20000), 0);
        std::filesystem::remove_all(folder);
    }

    // Guards against a process that ends because it is told to reload before its main function runs. The program of
    // this test is the daemon with a library that sends the signal from its constructor.
    TEST(StartSignals, SignalBeforeMainIsKept)
    {
        const auto folder = std::filesystem::temp_directory_path() / ("cyclamenstair-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder);
        const auto settings = folder / "settings.ini";
        const std::string host = "127.0.0.1:";
        std::ofstream(settings) << "[node]\nmode = Registered\nid = node-1\n[entry]\nlisten = " << host
                                << allocateLoopbackPort() << "\nready_listen = " << host << allocateLoopbackPort()
                                << "\n[control]\nstore = " << host << allocateLoopbackPort() << "\n";
        ChildProcess process("Tests/cyclamenstaird-signalled-before-main", { "--config", settings }, folder / "log");
        EXPECT_EQ(process.wait(1000), std::nullopt);
        process.sendSignal(SIGTERM);
        EXPECT_EQ(process.wait(20000), 0);
        std::ostringstream log;
        log << std::ifstream(folder / "log").rdbuf();
        EXPECT_NE(log.str().find("event=settings_reloaded"), std::string::npos) << log.str();
        std::filesystem::remove_all(folder);
    }

} // namespace
} // namespace cyclamenstair::testing

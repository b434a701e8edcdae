#include <Tests/Support/ProcessFleet.h>

#include <StandIns/LoopbackPort.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

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

#ifndef CYCLAMENSTAIR_SANITIZED
    // Guards against libraries that the dynamic loader maps and binds before the program can block signals, which end
    // it meanwhile. Sanitizers add libraries of their own.
    TEST(StartSignals, ProgramNeedsOnlyLibcBeforeSignalsAreBlocked)
    {
        const auto command = "readelf -d '" + std::string(CYCLAMENSTAIR_BINARY_DIR) + "/Programs/cyclamenstaird'";
        const std::unique_ptr<FILE, int (*)(FILE*)> output(::popen(command.c_str(), "r"), &::pclose);
        ASSERT_NE(output, nullptr);
        std::vector<std::string> libraries;
        std::array<char, 512> line {};
        while (std::fgets(line.data(), line.size(), output.get())) {
            const std::string text(line.data());
            // The loader itself is a part of libc, which some architectures name.
            if (text.find("(NEEDED)") != std::string::npos && text.find("[ld-linux") == std::string::npos)
                libraries.push_back(text.substr(text.find('[') + 1, text.find(']') - text.find('[') - 1));
        }
        EXPECT_EQ(libraries, std::vector<std::string> { "libc.so.6" });
    }
#endif

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

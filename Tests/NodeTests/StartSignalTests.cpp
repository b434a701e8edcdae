#include <Tests/Support/ProcessFleet.h>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace cyclamenstair::testing {
namespace {

    // Guards against a process that ends because it is told to reload while it still reads its settings.
    TEST(StartSignals, SignalsBeforeSettingsAreReadAreKept)
    {
        const auto folder = std::filesystem::temp_directory_path() / ("cyclamenstair-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder);
        const auto settings = folder / "settings.ini";
        ASSERT_EQ(::mkfifo(settings.c_str(), 0600), 0);
        ChildProcess process("Programs/cyclamenstaird", { "--config", settings }, folder / "log");
        // Opens once the process has opened its settings, which it then waits for.
        const int writer = ::open(settings.c_str(), O_WRONLY);
        ASSERT_GE(writer, 0);
        process.sendSignal(SIGHUP);
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        EXPECT_FALSE(process.hasExited());
        ::close(writer);
        std::filesystem::remove_all(folder);
    }

} // namespace
} // namespace cyclamenstair::testing

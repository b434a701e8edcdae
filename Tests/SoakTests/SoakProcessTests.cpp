#include <Benchmarks/Soak/SoakProcess.h>

#include <Tests/SoakTests/ProcessState.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sstream>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace cyclamenstair {
namespace {

    using ::testing::HasSubstr;

    constexpr auto timeout = std::chrono::seconds(20);
    constexpr auto pollInterval = milliseconds(20);

    std::vector<std::string> script(const std::string& text) { return { "-c", text }; }

    SoakProcess startProcess(const std::string& text, const SoakLimits& limits)
    {
        return SoakProcess("/bin/sh", script(text), "/dev/null", true, limits);
    }

    /// Script that holds a variable of 8 MiB and stops itself.
    constexpr const char* largeScript = "v=x; i=0; while [ $i -lt 23 ]; do v=$v$v; i=$((i+1)); done; kill -STOP $$";

    std::optional<std::string> waitForMemoryExcess(SoakProcess& process)
    {
        const auto end = monotonicNow() + timeout;
        while (monotonicNow() < end) {
            if (auto excess = process.takeMemoryExcess())
                return excess;
            std::this_thread::sleep_for(pollInterval);
        }
        return std::nullopt;
    }

    // Guards against processes that run with the descriptors of the soak instead of their VM's.
    TEST(SoakProcess, DescriptorsAreLimited)
    {
        SoakLimits limits;
        limits.maxDescriptors = 77;
        auto process = startProcess("exec sleep 30", limits);
        rlimit limit {};
        ASSERT_EQ(::prlimit(process.id(), RLIMIT_NOFILE, nullptr, &limit), 0);
        EXPECT_EQ(limit.rlim_cur, 77U);
        EXPECT_EQ(limit.rlim_max, 77U);
    }

    // Guards against memory over the limit that is not found, or that is reported again with each sample.
    TEST(SoakProcess, MemoryOverTheLimitIsFoundOnce)
    {
        SoakLimits limits;
        limits.maxResidentBytes = uint64_t { 4 } << 20U;
        auto process = startProcess(largeScript, limits);
        const auto excess = waitForMemoryExcess(process);
        ASSERT_TRUE(excess);
        EXPECT_THAT(*excess, HasSubstr("MiB resident of 4 MiB"));
        EXPECT_FALSE(process.takeMemoryExcess());
    }

    // Guards against findings for processes within their limit, or without one.
    TEST(SoakProcess, MemoryWithinTheLimitIsNoFinding)
    {
        SoakLimits limits;
        limits.maxResidentBytes = uint64_t { 200 } << 20U;
        auto process = startProcess(largeScript, limits);
        auto unlimited = startProcess(largeScript, {});
        const auto end = monotonicNow() + timeout;
        while (process.maxResidentBytes() < uint64_t { 8 } << 20U && monotonicNow() < end)
            std::this_thread::sleep_for(pollInterval);
        EXPECT_GE(process.maxResidentBytes(), uint64_t { 8 } << 20U);
        EXPECT_FALSE(process.takeMemoryExcess());
        EXPECT_FALSE(unlimited.takeMemoryExcess());
    }

    // Guards against a frozen process that the throttle continues, and against one that stays stopped after SIGCONT.
    TEST(SoakProcess, ThrottledProcessesAreFrozenAndContinued)
    {
        SoakThrottle throttle;
        SoakLimits limits;
        limits.cpuShare = 0.1;
        limits.throttle = &throttle;
        const auto folder
            = std::filesystem::temp_directory_path() / ("soak-process-test-" + std::to_string(::getpid()));
        const auto path = folder.string();
        // The file grows while the process runs.
        auto process = startProcess("while :; do echo x >> " + path + "; done", limits);
        const auto size = [&] {
            std::error_code error;
            const auto bytes = std::filesystem::file_size(path, error);
            return error ? 0 : bytes;
        };
        const auto grows = [&] {
            const auto before = size();
            const auto end = monotonicNow() + timeout;
            while (size() == before && monotonicNow() < end)
                std::this_thread::sleep_for(pollInterval);
            return size() > before;
        };
        EXPECT_TRUE(grows());
        // The throttle continues a process only if it has stopped it before.
        const auto stopEnd = monotonicNow() + timeout;
        while (!isStopped(process.id()) && monotonicNow() < stopEnd)
            std::this_thread::sleep_for(milliseconds(1));
        process.sendSignal(SIGSTOP);
        const auto frozenSize = size();
        std::this_thread::sleep_for(5 * ProcessorAllotment::period);
        EXPECT_EQ(size(), frozenSize);
        process.sendSignal(SIGCONT);
        EXPECT_TRUE(grows());
        process.sendSignal(SIGKILL);
        const auto end = monotonicNow() + timeout;
        std::optional<SoakEnd> processEnd;
        while (!processEnd && monotonicNow() < end) {
            processEnd = process.takeEnd();
            std::this_thread::sleep_for(pollInterval);
        }
        ASSERT_TRUE(processEnd);
        EXPECT_EQ(processEnd->verdict, SoakVerdict::Expected);
        std::filesystem::remove(path);
    }

} // namespace
} // namespace cyclamenstair

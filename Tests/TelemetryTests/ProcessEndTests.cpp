#include <Cyclamenstair/Telemetry/FatalSignals.h>
#include <Cyclamenstair/Telemetry/FixedLine.h>
#include <Cyclamenstair/Telemetry/ProcessEnd.h>

#include <array>
#include <bit>
#include <csignal>
#include <fcntl.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace cyclamenstair {
namespace {

    using testing::AllOf;
    using testing::ContainsRegex;
    using testing::HasSubstr;
    using testing::KilledBySignal;
    using testing::Not;

    // Guards against an end of the process that waits for a reader of its output, and against a line without its end.
    TEST(FixedLine, IsCutOffAndDoesNotBlock)
    {
        std::array<int, 2> ends {};
        ASSERT_EQ(::pipe(ends.data()), 0);
        FixedLine line;
        line.appendTime(
            std::chrono::sys_days(std::chrono::year(2024) / 2 / 29) + std::chrono::microseconds(61'000'007));
        line.appendField("text", "two \"words\"\n");
        line.appendHexField("hex", 0x10f);
        line.appendField("zero", uint64_t { 0 });
        line.append(std::string(5000, 'x'));
        EXPECT_TRUE(line.write(ends[1]));
        std::array<char, 8192> buffer {};
        const std::string text(buffer.data(), static_cast<size_t>(::read(ends[0], buffer.data(), buffer.size())));
        EXPECT_EQ(text.size(), 4096U);
        EXPECT_THAT(
            text, testing::StartsWith("2024-02-29T00:01:01.000007Z text=\"two \\\"words\\\" \" hex=0x10f zero=0xxx"));
        EXPECT_EQ(text.back(), '\n');
        for (int i = 0; i < 16; ++i) // A pipe holds 64 KiB.
            EXPECT_TRUE(line.write(ends[1]));
        EXPECT_FALSE(line.write(ends[1]));
        ::close(ends[0]);
        ::close(ends[1]);
    }

#ifndef CYCLAMENSTAIR_SANITIZED

    class FatalSignalDeathTest : public testing::TestWithParam<int> {
    protected:
        // A child that is forked beside the threads of other tests may wait for their locks forever.
        FatalSignalDeathTest() { GTEST_FLAG_SET(death_test_style, "threadsafe"); }
    };

    // Guards against a process that ends by a signal without a line about it, or with another status than before.
    TEST_P(FatalSignalDeathTest, WritesLineAndEndsAsBefore)
    {
        const int signal = GetParam();
        const auto end = [signal] {
            installFatalSignalHandlers();
            ::raise(signal);
        };
        EXPECT_EXIT(end(), KilledBySignal(signal),
            AllOf(ContainsRegex("^time=[^ ]+Z level=error event=process_ended reason=fatal_signal status="
                      + std::to_string(128 + signal) + " uptime_ms=[0-9]+ pid=[0-9]+ build=unknown signal=SIG"),
                ContainsRegex(" thread=[0-9]+ pc=0x[0-9a-f]+ "),
                ContainsRegex(" load_base=0x[0-9a-f]+ stack=0x[0-9a-f]+,0x")));
    }

    INSTANTIATE_TEST_SUITE_P(
        Signals, FatalSignalDeathTest, testing::Values(SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT, SIGXCPU));

    using ProcessEndDeathTest = FatalSignalDeathTest;

    // Guards against a fault whose address is not told.
    TEST_F(ProcessEndDeathTest, NamesTheAddressOfTheFault)
    {
        const auto end = [] {
            installFatalSignalHandlers();
            volatile uintptr_t address = 0x50; // Hides the value from the compiler.
            *std::bit_cast<volatile int*>(address) = 1;
        };
        EXPECT_EXIT(end(), KilledBySignal(SIGSEGV), HasSubstr(" code=1 address=0x50 thread="));
    }

    int recurse(volatile int* outer)
    {
        std::array<volatile int, 256> frame {};
        frame[0] = *outer + 1;
        return frame[0] == 0 ? 0 : recurse(frame.data()) + frame[1];
    }

    // Guards against a stack overflow without a line: the handler cannot run on a stack that is full.
    TEST_F(ProcessEndDeathTest, ReportsStackOverflow)
    {
        const auto end = [] {
            installFatalSignalHandlers();
            std::thread([] {
                const AlternateSignalStack alternateStack;
                volatile int depth = 1;
                recurse(&depth);
            }).join();
        };
        EXPECT_EXIT(end(), KilledBySignal(SIGSEGV), ContainsRegex("signal=SIGSEGV .* stack=0x[0-9a-f]+,0x"));
    }

    // Guards against an exception that leaves a thread and ends the process without its text, and against a second line
    // about the signal that follows.
    TEST_F(ProcessEndDeathTest, ReportsExceptionOfThread)
    {
        const auto end = [] {
            installFatalSignalHandlers();
            std::thread([] { throw std::runtime_error("no room"); }).join();
        };
        EXPECT_EXIT(end(), KilledBySignal(SIGABRT),
            AllOf(ContainsRegex("event=process_ended reason=terminated status=134 .*"
                                " type=std::runtime_error message=\"no room\"\n"),
                HasSubstr("terminate called after throwing"), Not(HasSubstr("reason=fatal_signal"))));
    }

    // Guards against a preloaded library that does not get its signals any more.
    TEST_F(ProcessEndDeathTest, KeepsHandlersOfOthers)
    {
        const auto end = [] {
            ::signal(SIGSEGV, [](int) { ::_exit(7); });
            installFatalSignalHandlers();
            struct sigaction action { };
            if (::sigaction(SIGSYS, nullptr, &action) != 0 || action.sa_handler != SIG_DFL)
                ::_exit(8);
            ::raise(SIGSEGV);
        };
        EXPECT_EXIT(end(), testing::ExitedWithCode(7), testing::IsEmpty());
    }

#endif

} // namespace
} // namespace cyclamenstair

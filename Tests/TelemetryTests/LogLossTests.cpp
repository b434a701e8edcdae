#include <Cyclamenstair/Telemetry/Log.h>
#include <Tests/Support/FailingAllocations.h>

#include <array>
#include <chrono>
#include <fcntl.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace cyclamenstair {
namespace {

    using testing::ContainsRegex;
    using testing::HasSubstr;
    using testing::Not;

    constexpr auto flushTimeout = std::chrono::seconds(5);

    /// Standard output of the test program, replaced by others.
    class LogLossTest : public testing::Test {
    protected:
        LogLossTest()
        {
            isTestThread = true;
            EXPECT_EQ(::pipe2(m_pipe.data(), O_NONBLOCK), 0);
            configureLog(LogSeverity::Info);
            redirect(m_pipe[1]);
            // Reports the losses of other tests.
            log("start");
            EXPECT_TRUE(flushLog(flushTimeout));
            (void)read();
        }
        ~LogLossTest() override
        {
            redirect(m_standardOutput);
            for (const int descriptor : { m_pipe[0], m_pipe[1], m_standardOutput })
                ::close(descriptor);
        }

        static void redirect(int descriptor) { ::dup2(descriptor, STDOUT_FILENO); }

        /// Returns what is in the pipe.
        std::string read() const
        {
            std::string text;
            std::array<char, 65536> buffer {};
            for (ssize_t count = 0; (count = ::read(m_pipe[0], buffer.data(), buffer.size())) > 0;)
                text.append(buffer.data(), static_cast<size_t>(count));
            return text;
        }

        static void log(const std::string& text) { logEvent(LogSeverity::Info, "line", { { "text", text } }); }

        std::array<int, 2> m_pipe {};
        int m_standardOutput { ::dup(STDOUT_FILENO) };
    };

    // Guards against a log that stays silent after a failed write, such as one to a full disk.
    TEST_F(LogLossTest, FailedWriteIsReportedByTheNextLine)
    {
        const int full = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
        redirect(full);
        log("lost-1");
        log("lost-2");
        EXPECT_TRUE(flushLog(flushTimeout));
        redirect(m_pipe[1]);
        ::close(full);
        log("written-1");
        log("written-2");
        EXPECT_TRUE(flushLog(flushTimeout));
        EXPECT_THAT(read(), ContainsRegex("text=written-1 dropped=2\n.*text=written-2\n"));
    }

    // Guards against lines that are lost because the pipe of standard output does not block.
    TEST_F(LogLossTest, FullNonBlockingPipeIsWaitedFor)
    {
        const std::string filler(4096, 'x');
        while (::write(m_pipe[1], filler.data(), filler.size()) > 0) { }
        log("late");
        EXPECT_FALSE(flushLog(std::chrono::milliseconds(100)));
        auto text = read();
        EXPECT_TRUE(flushLog(flushTimeout));
        text += read();
        EXPECT_THAT(text, HasSubstr("text=late\n"));
    }

#ifndef __SANITIZE_THREAD__

    // Guards against an exception of the log that leaves the handler of another exception.
    TEST_F(LogLossTest, FailedAllocationDropsTheLine)
    {
        const Error error { ErrorKind::Internal, "step", "peer", std::string(200, 'x') };
        failingThreads = FailingThreads::Current;
        EXPECT_NO_THROW(logError(LogSeverity::Info, "event", error));
        EXPECT_NO_THROW(logEvent(LogSeverity::Info, "event_with_a_name_that_does_not_fit_into_a_short_string"));
        bool isFlushed = true;
        EXPECT_NO_THROW(isFlushed = flushLog(flushTimeout));
        failingThreads = FailingThreads::None;
        EXPECT_FALSE(isFlushed);
        log("written");
        EXPECT_TRUE(flushLog(flushTimeout));
        EXPECT_THAT(read(), HasSubstr("text=written dropped=2\n"));
    }

    TEST_F(LogLossTest, FailedAllocationDropsTheLineAboutARequest)
    {
        const std::string id(200, 'x');
        failingThreads = FailingThreads::Current;
        EXPECT_NO_THROW(logRequestEvent(id, "event"));
        failingThreads = FailingThreads::None;
    }

    // Guards against an exception that leaves the log's thread and ends the process.
    TEST_F(LogLossTest, FailedAllocationInTheThreadOfTheLogDropsTheLine)
    {
        failingThreads = FailingThreads::Others;
        log(std::string(8000, 'y'));
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        failingThreads = FailingThreads::None;
        log("written");
        EXPECT_TRUE(flushLog(flushTimeout));
        const auto text = read();
        EXPECT_THAT(text, Not(HasSubstr("yyyy")));
        EXPECT_THAT(text, HasSubstr("text=written dropped=1\n"));
    }

#endif

} // namespace
} // namespace cyclamenstair

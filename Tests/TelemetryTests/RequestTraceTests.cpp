#include <Cyclamenstair/Telemetry/Log.h>
#include <Cyclamenstair/Telemetry/RequestTrace.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

using namespace cyclamenstair;

// Guards against lines of other requests in the trace (r-10 starts with r-1), lines out of order, and a missing target
// state.
TEST(RequestTrace, SortsLinesOfSeveralLogsByTime)
{
    std::istringstream first("time=10:00:01 level=info event=target_entry target=i-1 phase=ready\n"
                             "time=10:00:03 level=info event=attempt_started request=r-1 target=i-1\n"
                             "time=10:00:03 level=info event=attempt_started request=r-10 target=i-1\n");
    std::istringstream second(
        "12.5 node-2 time=10:00:02 level=info event=answered_by_node request=r-1 reason=stopping\n");
    RequestTrace trace("r-1");
    trace.readLog("a.log", first);
    trace.readLog("b.log", second);
    const auto lines = trace.lines();
    ASSERT_EQ(lines.size(), 3U);
    EXPECT_TRUE(lines[0].starts_with("b.log: 12.5 node-2"));
    EXPECT_NE(lines[1].find("target state: time=10:00:01"), std::string::npos);
    EXPECT_NE(lines[2].find("attempt_started"), std::string::npos);
}

// Guards against a crash or a wrong count on truncated lines. A killed process leaves a log that ends at any byte.
TEST(RequestTrace, CountsMalformedLines)
{
    std::istringstream log("time=10:00:01 level=info ev\n\n\xff\xfe\nrequest=r-1\ntime=1 event=answered request=r-1");
    RequestTrace trace("r-1");
    trace.readLog("a.log", log);
    EXPECT_EQ(trace.lines().size(), 1U);
    EXPECT_EQ(trace.malformedLineCount(), 3U);
}

// Guards against a flood of requests that fills the log.
TEST(RequestLog, FloodIsRateLimited)
{
    testing::internal::CaptureStdout();
    configureLog(LogSeverity::Info);
    for (int i = 0; i < 5000; ++i)
        logRequestEvent("r-" + std::to_string(i), "attempt_started");
    EXPECT_TRUE(flushLog(std::chrono::seconds(10)));
    const auto output = testing::internal::GetCapturedStdout();
    EXPECT_LE(std::count(output.begin(), output.end(), '\n'), 2000);
}

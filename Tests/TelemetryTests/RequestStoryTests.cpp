#include <Cyclamenstair/Telemetry/Log.h>
#include <Cyclamenstair/Telemetry/RequestStory.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

using namespace cyclamenstair;

TEST(RequestStory, OrdersTheLinesOfSeveralProcesses)
{
    std::istringstream first("time=10:00:01 level=info event=target_entry target=i-1 phase=ready\n"
                             "time=10:00:03 level=info event=attempt_started request=r-1 target=i-1\n"
                             "time=10:00:03 level=info event=attempt_started request=r-10 target=i-1\n");
    std::istringstream second(
        "12.5 node-2 time=10:00:02 level=info event=answered_by_node request=r-1 reason=stopping\n");
    RequestStory story("r-1");
    story.read("a.log", first);
    story.read("b.log", second);
    const auto lines = story.lines();
    ASSERT_EQ(lines.size(), 3U);
    EXPECT_TRUE(lines[0].starts_with("b.log: 12.5 node-2"));
    EXPECT_NE(lines[1].find("state of the target: time=10:00:01"), std::string::npos);
    EXPECT_NE(lines[2].find("attempt_started"), std::string::npos);
}

// Logs are cut at any byte when a process is killed.
TEST(RequestStory, CountsMalformedLines)
{
    std::istringstream log("time=10:00:01 level=info ev\n\n\xff\xfe\nrequest=r-1\ntime=1 event=answered request=r-1");
    RequestStory story("r-1");
    story.read("a.log", log);
    EXPECT_EQ(story.lines().size(), 1U);
    EXPECT_EQ(story.malformedLines(), 3U);
}

// Lines about requests are bounded, and the next one tells how many were dropped.
TEST(RequestLog, FloodIsBounded)
{
    testing::internal::CaptureStdout();
    configureLog(LogSeverity::Info);
    for (int i = 0; i < 5000; ++i)
        logRequestEvent("r-" + std::to_string(i), "attempt_started");
    const auto output = testing::internal::GetCapturedStdout();
    EXPECT_LE(std::count(output.begin(), output.end(), '\n'), 2000);
}

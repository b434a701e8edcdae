#include <Cyclamenstair/Telemetry/LogLimiter.h>

#include <gtest/gtest.h>

namespace cyclamenstair {
namespace {

    // Guards against a repeated fault that fills the log, and against a fault that stays suppressed forever.
    TEST(LogLimiter, SuppressesRepeatedLinesAndReportsTheirNumber)
    {
        LogLimiter limiter({ 2, std::chrono::seconds(10), 256 });
        const TimePoint start {};
        EXPECT_EQ(limiter.admit("a", start), 0U);
        EXPECT_EQ(limiter.admit("a", start), 0U);
        EXPECT_FALSE(limiter.admit("a", start));
        EXPECT_FALSE(limiter.admit("a", start + std::chrono::seconds(9)));
        EXPECT_EQ(limiter.admit("b", start), 0U);
        EXPECT_EQ(limiter.admit("a", start + std::chrono::seconds(10)), 2U);
        EXPECT_EQ(limiter.admit("a", start + std::chrono::seconds(10)), 0U);
    }

} // namespace
} // namespace cyclamenstair

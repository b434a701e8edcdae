#include <Benchmarks/Soak/ProcessorAllotment.h>

#include <gtest/gtest.h>

namespace cyclamenstair {
namespace {

    constexpr TimePoint start { std::chrono::seconds(1000) };

    // Guards against a process that runs on after it has used its share of a period, or is stopped before.
    TEST(ProcessorAllotment, IsUsedUpAfterTheShareOfAPeriod)
    {
        ProcessorAllotment allotment(0.25, start, milliseconds(500));
        EXPECT_EQ(allotment.periodEnd(), start + milliseconds(100));
        allotment.update(start + milliseconds(24), milliseconds(524));
        EXPECT_EQ(allotment.remaining(), milliseconds(1));
        allotment.update(start + milliseconds(26), milliseconds(526));
        EXPECT_EQ(allotment.remaining(), Duration::zero());
        allotment.update(start + milliseconds(99), milliseconds(526));
        EXPECT_EQ(allotment.remaining(), Duration::zero());
    }

    // Guards against a process that collects time while it is idle and then exceeds its share.
    TEST(ProcessorAllotment, UnusedTimeExpires)
    {
        ProcessorAllotment allotment(0.25, start, Duration::zero());
        allotment.update(start + milliseconds(1050), milliseconds(2));
        EXPECT_EQ(allotment.remaining(), milliseconds(25));
        EXPECT_EQ(allotment.periodEnd(), start + milliseconds(1100));
    }

    // Guards against a share that is exceeded on the average because checks come late.
    TEST(ProcessorAllotment, ExcessIsTakenFromTheNextPeriods)
    {
        ProcessorAllotment allotment(0.25, start, Duration::zero());
        allotment.update(start + milliseconds(40), milliseconds(60));
        EXPECT_EQ(allotment.remaining(), Duration::zero());
        allotment.update(start + milliseconds(100), milliseconds(60));
        EXPECT_EQ(allotment.remaining(), Duration::zero());
        allotment.update(start + milliseconds(200), milliseconds(60));
        EXPECT_EQ(allotment.remaining(), milliseconds(15));
        allotment.update(start + milliseconds(300), milliseconds(60));
        EXPECT_EQ(allotment.remaining(), milliseconds(25));
    }

    // Guards against excess that counts twice, or not at all, if a check comes some periods late.
    TEST(ProcessorAllotment, LateChecksCountThePeriodsBetween)
    {
        ProcessorAllotment allotment(0.25, start, Duration::zero());
        allotment.update(start + milliseconds(310), milliseconds(90));
        EXPECT_EQ(allotment.remaining(), milliseconds(10));
        EXPECT_EQ(allotment.periodEnd(), start + milliseconds(400));
    }

} // namespace
} // namespace cyclamenstair

#include <Cyclamenstair/Membership/LeasedPortions.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    const auto noHolderTerminated = [](const std::string&) { return false; };

    // Guards against two holders using the same slots because the lease of one expired while it still runs.
    TEST(LeasedPortions, ExpiredPortionOfRunningHolderIsNotReclaimed)
    {
        LeasedPortions portions("weights");
        EXPECT_EQ(portions.renew("a", 3, 0, 3, 100), 3U);
        portions.reclaim(200, noHolderTerminated);
        EXPECT_EQ(portions.renew("b", 3, 0, 3, 300), 0U);
        portions.reclaim(200, [](const std::string& holder) { return holder == "a"; });
        EXPECT_EQ(portions.renew("b", 3, 0, 3, 300), 3U);
    }

    // Guards against granting the slots of a terminated holder while uses that it started may still be in progress.
    TEST(LeasedPortions, UnexpiredPortionOfTerminatedHolderIsNotReclaimed)
    {
        LeasedPortions portions("weights");
        portions.renew("a", 3, 0, 3, 100);
        portions.reclaim(50, [](const std::string&) { return true; });
        EXPECT_EQ(portions.grantedSlots(), 3U);
    }

    // Guards against granting slots that are still in use when a holder reduces its portion.
    TEST(LeasedPortions, ShrinkingKeepsSlotsInUse)
    {
        LeasedPortions portions("weights");
        portions.renew("a", 3, 0, 3, 100);
        EXPECT_EQ(portions.renew("a", 1, 2, 3, 200), 2U);
        EXPECT_EQ(portions.renew("b", 3, 0, 3, 200), 1U);
        portions.release("a");
        EXPECT_EQ(portions.renew("b", 3, 0, 3, 200), 3U);
    }

    // Guards against more concurrent uses than the limit allows when holders use their portions beyond expiry.
    RC_GTEST_PROP(LeasedPortions, slotsInUseNeverExceedTheLimit, (const std::vector<uint16_t>& choices))
    {
        constexpr uint32_t limitSlots = 5;
        LeasedPortions portions("weights");
        std::vector<uint32_t> granted(3, 0);
        std::vector<bool> isTerminated(3, false);
        const auto isHolderTerminated = [&](const std::string& holder) { return isTerminated[holder[0] - '0']; };
        uint64_t now = 0;
        for (const auto choice : choices) {
            const size_t index = choice % 3;
            const auto holder = std::string(1, static_cast<char>('0' + index));
            now += choice % 7;
            if (choice % 11 == 0) {
                isTerminated[index] = true;
                granted[index] = 0;
            } else if (choice % 5 == 0) {
                portions.reclaim(now, isHolderTerminated);
            } else if (!isTerminated[index]) {
                granted[index] = portions.renew(holder, choice % 6, choice % 4, limitSlots, now + 10);
            }
            uint32_t sum = 0;
            for (const auto slots : granted)
                sum += slots;
            RC_ASSERT(sum <= limitSlots);
        }
    }

} // namespace
} // namespace cyclamenstair

#include <Cyclamenstair/Membership/LeasedPortions.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    const auto nobodyEnded = [](const std::string&) { return false; };

    // Guards against slots that two holders use at once because a lease has expired.
    TEST(LeasedPortions, ExpiryAloneReclaimsNothing)
    {
        LeasedPortions portions("weights");
        EXPECT_EQ(portions.renew("a", 3, 0, 3, 100), 3U);
        portions.reclaim(200, nobodyEnded);
        EXPECT_EQ(portions.renew("b", 3, 0, 3, 300), 0U);
        portions.reclaim(200, [](const std::string& holder) { return holder == "a"; });
        EXPECT_EQ(portions.renew("b", 3, 0, 3, 300), 3U);
    }

    // Guards against the portion of an ended holder being used before the uses that it began can be over.
    TEST(LeasedPortions, EndOfTheHolderAloneReclaimsNothing)
    {
        LeasedPortions portions("weights");
        portions.renew("a", 3, 0, 3, 100);
        portions.reclaim(50, [](const std::string&) { return true; });
        EXPECT_EQ(portions.grantedSlots(), 3U);
    }

    TEST(LeasedPortions, SlotsInUseStayCountedWhenThePortionShrinks)
    {
        LeasedPortions portions("weights");
        portions.renew("a", 3, 0, 3, 100);
        EXPECT_EQ(portions.renew("a", 1, 2, 3, 200), 2U);
        EXPECT_EQ(portions.renew("b", 3, 0, 3, 200), 1U);
        portions.surrender("a");
        EXPECT_EQ(portions.renew("b", 3, 0, 3, 200), 3U);
    }

    // Guards against more uses at once than the limit allows, with holders that keep using expired portions.
    RC_GTEST_PROP(LeasedPortions, usesNeverExceedTheLimit, (const std::vector<uint16_t>& choices))
    {
        constexpr uint32_t total = 5;
        LeasedPortions portions("weights");
        std::vector<uint32_t> granted(3, 0);
        std::vector<bool> ended(3, false);
        const auto hasEnded = [&](const std::string& holder) { return ended[holder[0] - '0']; };
        uint64_t now = 0;
        for (const auto choice : choices) {
            const size_t index = choice % 3;
            const auto holder = std::string(1, static_cast<char>('0' + index));
            now += choice % 7;
            if (choice % 11 == 0) {
                ended[index] = true;
                granted[index] = 0;
            } else if (choice % 5 == 0) {
                portions.reclaim(now, hasEnded);
            } else if (!ended[index]) {
                granted[index] = portions.renew(holder, choice % 6, choice % 4, total, now + 10);
            }
            uint32_t sum = 0;
            for (const auto slots : granted)
                sum += slots;
            RC_ASSERT(sum <= total);
        }
    }

} // namespace
} // namespace cyclamenstair

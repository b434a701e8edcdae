#include <Cyclamenstair/Plan/SheetParser.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    using testing::HasSubstr;

    constexpr const char* header
        = "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n";

    // Guards against fields that are assigned to the wrong member or dropped.
    TEST(SheetParser, ParsesAllKindsOfRows)
    {
        const auto result = SheetParser::parse(std::string(header)
            + "model,draft,,1000,2,high,5000,,,,,\n"
              "adapter,rules,draft,20,1,normal,,,,,,\n"
              "service,bookings,,,,high,3000,no,,,,\n"
              "caller,board,,,,low,4000,,2.5,10,salt$hash,draft|bookings\n");
        ASSERT_TRUE(result.plan) << result.errors.front().message;
        EXPECT_EQ(result.plan->findModel("draft")->memoryBytes, 1000ULL << 20);
        EXPECT_EQ(result.plan->findModel("draft")->replicas, 2U);
        EXPECT_EQ(result.plan->findAdapter("rules")->model, "draft");
        EXPECT_FALSE(result.plan->findService("bookings")->repeatable);
        EXPECT_EQ(result.plan->findCaller("board")->requestsPerSecond, 2.5);
        EXPECT_THAT(result.plan->findCaller("board")->allowed, testing::ElementsAre("draft", "bookings"));
    }

    /// A sheet with one error, the line of the error and part of its message.
    struct InvalidSheet {
        const char* rows;
        uint32_t line;
        const char* expected;
    };

    class InvalidSheets : public testing::TestWithParam<InvalidSheet> { };

    // Guards against invalid rows that are accepted, or reported with the wrong line.
    TEST_P(InvalidSheets, AreRejectedWithLine)
    {
        const auto result = SheetParser::parse(std::string(header) + GetParam().rows);
        ASSERT_FALSE(result.plan);
        EXPECT_EQ(result.errors.front().line, GetParam().line);
        EXPECT_THAT(result.errors.front().message, HasSubstr(GetParam().expected));
    }

    INSTANTIATE_TEST_SUITE_P(All, InvalidSheets,
        testing::Values(InvalidSheet { "modl,a,,1,,,,,,,,\n", 2, "kind 'modl'" },
            InvalidSheet { "model,a,,,,,,,,,,\n", 2, "memory_mib is missing" },
            InvalidSheet { "model,a,,1,,,,,,,,\nmodel,a,,1,,,,,,,,\n", 3, "already defined on line 2" },
            InvalidSheet { "model,a,,1,0,,,,,,,\n", 2, "replicas '0'" },
            InvalidSheet { "model,a,,1,,urgent,,,,,,\n", 2, "priority 'urgent'" },
            InvalidSheet { "model,a b,,1,,,,,,,,\n", 2, "name 'a b'" },
            InvalidSheet { "model,a,,1,,,,,,,,\nadapter,x,b,1,,,,,,,,\n", 3, "model 'b' of adapter 'x'" },
            InvalidSheet { "model,a,,1,,,,,,,,\ncaller,c,,,,,,,,,s$h,zz\n", 3, "allowed name 'zz'" },
            InvalidSheet { "model,a,,1,,,-5,,,,,\n", 2, "window_ms '-5'" }, InvalidSheet { "model,a\n", 2, "" },
            InvalidSheet { "caller,c,,,,,,,,,,\nmodel,a,,1,,,,,,,,\n", 2, "token_hash is missing" },
            InvalidSheet { "model,a,,1,,,,,nan,,,\ncaller,c,,,,,,,nan,,s$h,\n", 3, "rate_per_s 'nan'" }));

    // Guards against an empty or truncated sheet that is accepted as an empty plan.
    TEST(SheetParser, RejectsSheetWithoutHeaderOrRows)
    {
        EXPECT_FALSE(SheetParser::parse("").plan);
        EXPECT_FALSE(SheetParser::parse(header).plan);
        EXPECT_FALSE(SheetParser::parse("model,a,,1\n").plan);
    }

    // Guards against crashes on arbitrary input, with and without a valid header.
    RC_GTEST_PROP(SheetParser, neverThrowsOnArbitraryText, (const std::string& text))
    {
        SheetParser::parse(text);
        SheetParser::parse(header + text);
    }

} // namespace
} // namespace cyclamenstair

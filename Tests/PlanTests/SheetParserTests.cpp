#include <Cyclamenstair/Plan/SheetParser.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    using testing::HasSubstr;

    constexpr const char* header
        = "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n";

    TEST(SheetParser, ReadsAllKindsOfRows)
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
    struct BadSheet {
        const char* rows;
        uint32_t line;
        const char* expected;
    };

    class BadSheets : public testing::TestWithParam<BadSheet> { };

    // Guards against errors that are accepted or reported at the wrong line.
    TEST_P(BadSheets, AreRefusedWithLine)
    {
        const auto result = SheetParser::parse(std::string(header) + GetParam().rows);
        ASSERT_FALSE(result.plan);
        EXPECT_EQ(result.errors.front().line, GetParam().line);
        EXPECT_THAT(result.errors.front().message, HasSubstr(GetParam().expected));
    }

    INSTANTIATE_TEST_SUITE_P(All, BadSheets,
        testing::Values(BadSheet { "modl,a,,1,,,,,,,,\n", 2, "kind 'modl'" },
            BadSheet { "model,a,,,,,,,,,,\n", 2, "memory_mib is missing" },
            BadSheet { "model,a,,1,,,,,,,,\nmodel,a,,1,,,,,,,,\n", 3, "already stands on line 2" },
            BadSheet { "model,a,,1,0,,,,,,,\n", 2, "replicas '0'" },
            BadSheet { "model,a,,1,,urgent,,,,,,\n", 2, "priority 'urgent'" },
            BadSheet { "model,a b,,1,,,,,,,,\n", 2, "name 'a b'" },
            BadSheet { "model,a,,1,,,,,,,,\nadapter,x,b,1,,,,,,,,\n", 3, "model 'b' of adapter 'x'" },
            BadSheet { "model,a,,1,,,,,,,,\ncaller,c,,,,,,,,,s$h,zz\n", 3, "allowed name 'zz'" },
            BadSheet { "model,a,,1,,,-5,,,,,\n", 2, "window_ms '-5'" }, BadSheet { "model,a\n", 2, "" },
            BadSheet { "caller,c,,,,,,,,,,\nmodel,a,,1,,,,,,,,\n", 2, "token_hash is missing" },
            BadSheet { "model,a,,1,,,,,nan,,,\ncaller,c,,,,,,,nan,,s$h,\n", 3, "rate_per_s 'nan'" }));

    TEST(SheetParser, RefusesSheetWithoutHeaderOrRows)
    {
        EXPECT_FALSE(SheetParser::parse("").plan);
        EXPECT_FALSE(SheetParser::parse(header).plan);
        EXPECT_FALSE(SheetParser::parse("model,a,,1\n").plan);
    }

    // Guards against a crash on arbitrary rows.
    RC_GTEST_PROP(SheetParser, neverThrowsOnArbitraryText, (const std::string& text))
    {
        SheetParser::parse(text);
        SheetParser::parse(header + text);
    }

} // namespace
} // namespace cyclamenstair

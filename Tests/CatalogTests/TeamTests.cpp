#include <Cyclamenstair/Catalog/TeamDirectory.h>

#include <gtest/gtest.h>

#include <limits>

using namespace cyclamenstair;

namespace {

Team team(const std::string& name, std::vector<std::string> keys, double rate = 10)
{
    return { name, std::move(keys), std::nullopt, { AllotmentUnit::Tokens, rate, rate, 200 } };
}

} // namespace

// Guards against a key that is attributed to another team, and against a prefix of a key that is accepted.
TEST(TeamDirectory, FindsTeamByWholeKeyOnly)
{
    const TeamDirectory teams({ team("a", { "key-1", "key-2" }), team("b", { "key-3" }), team("c", {}) });
    EXPECT_TRUE(teams.isEnabled());
    EXPECT_EQ(teams.findByKey("key-2")->name, "a");
    EXPECT_EQ(teams.findByKey("key-3")->name, "b");
    for (const char* key : { "", "key", "key-", "key-33", "KEY-3" })
        EXPECT_EQ(teams.findByKey(key), nullptr) << key;
    EXPECT_FALSE(TeamDirectory({}).isEnabled());
}

// Guards against a catalog with contradictory teams that comes into force, and against keys in error texts.
TEST(Team, ContradictoryTeamsAreRejected)
{
    EXPECT_FALSE(validateTeams({ team("a", { "key-1" }), team("b", { "key-2" }), team("c", {}) }));
    constexpr auto infinity = std::numeric_limits<double>::infinity();
    const std::vector<std::vector<Team>> rejected { { team("", { "key-1" }) }, { team("a", {}), team("a", {}) },
        { team("a", { "" }) }, { team("a", { "key-1" }), team("b", { "key-1" }) }, { team("a", { "key-1" }, -1) },
        { team("a", { "key-1" }, infinity) }, { team("a", { "key-1" }, 1e300) } };
    for (const auto& teams : rejected) {
        const auto error = validateTeams(teams);
        ASSERT_TRUE(error);
        EXPECT_EQ(error->describe().find("key-1"), std::string::npos);
    }
}

// Guards against requests that are charged in the wrong unit, or not at all if they state no tokens.
TEST(Allotment, CostDependsOnUnit)
{
    const Allotment tokens { AllotmentUnit::Tokens, 10, 10, 200 };
    EXPECT_EQ(tokens.cost(1632), 1632);
    EXPECT_EQ(tokens.cost(std::nullopt), 200);
    EXPECT_EQ((Allotment { AllotmentUnit::Requests, 10, 10, 200 }).cost(1632), 1);
}

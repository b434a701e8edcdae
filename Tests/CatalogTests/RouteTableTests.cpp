#include <Cyclamenstair/Catalog/CatalogRegister.h>

#include <gtest/gtest.h>

using namespace cyclamenstair;

namespace {

Route route(const std::string& name, const std::string& host, const std::string& prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    return route;
}

} // namespace

// A shorter prefix must not take the requests of a longer one.
TEST(RouteTable, FindsLongestPrefixOfTheHost)
{
    const RouteTable table({ route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/") });
    EXPECT_EQ(table.find("a.example", "/x/y/z/1")->name, "long");
    EXPECT_EQ(table.find("a.example", "/x/yy")->name, "short");
    EXPECT_EQ(table.find("a.example", "/x/y/")->name, "long");
    EXPECT_EQ(table.find("a.example", "/x"), nullptr);
    EXPECT_EQ(table.find("c.example", "/x/"), nullptr);
}

TEST(RouteTable, IgnoresPortAndCaseOfTheHost)
{
    const RouteTable table({ route("a", "a.example", "/") });
    EXPECT_NE(table.find("A.Example:8080", "/anything"), nullptr);
}

// A path that does not begin with a slash has no route; it must not run past the begin of the text.
TEST(RouteTable, FindsNothingForOddPaths)
{
    const RouteTable table({ route("a", "a.example", "/x/") });
    EXPECT_EQ(table.find("a.example", ""), nullptr);
    EXPECT_EQ(table.find("a.example", "*"), nullptr);
    EXPECT_EQ(table.find("a.example", "/"), nullptr);
}

TEST(Route, SharesFollowTheirWeights)
{
    Route split = route("a", "a.example", "/");
    split.shares = { { "none", 0 }, { "most", 90 }, { "rest", 10 } };
    EXPECT_EQ(serviceFor(split, 0.0), "most");
    EXPECT_EQ(serviceFor(split, 0.899), "most");
    EXPECT_EQ(serviceFor(split, 0.901), "rest");
    EXPECT_EQ(serviceFor(split, 0.9999999), "rest");
    EXPECT_EQ(serviceFor(route("b", "b", "/"), 0.5), "");
}

// A stale read must not take a node back to an older catalog.
TEST(CatalogRegister, RefusesOlderAndEqualVersions)
{
    CatalogRegister catalogs;
    EXPECT_EQ(catalogs.current(), nullptr);
    ServiceCatalog catalog;
    catalog.version = 7;
    EXPECT_TRUE(catalogs.offer(catalog));
    catalog.version = 6;
    EXPECT_FALSE(catalogs.offer(catalog));
    catalog.version = 7;
    EXPECT_FALSE(catalogs.offer(catalog));
    EXPECT_EQ(catalogs.current()->catalog.version, 7);
    catalog.version = 12;
    EXPECT_TRUE(catalogs.offer(catalog));
}

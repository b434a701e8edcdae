#include <Cyclamenstair/Catalog/CatalogRegistry.h>

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

// Guards against a shorter prefix that receives the requests of a longer one.
TEST(RouteTable, FindsLongestPrefixOfHost)
{
    const RouteTable table({ route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/") });
    EXPECT_EQ(table.find("a.example", "/x/y/z/1")->name, "long");
    EXPECT_EQ(table.find("a.example", "/x/yy")->name, "short");
    EXPECT_EQ(table.find("a.example", "/x/y/")->name, "long");
    EXPECT_EQ(table.find("a.example", "/x"), nullptr);
    EXPECT_EQ(table.find("c.example", "/x/"), nullptr);
}

// Guards against rejecting requests whose Host header has a port or upper-case letters.
TEST(RouteTable, IgnoresPortAndCaseOfHost)
{
    const RouteTable table({ route("a", "a.example", "/") });
    EXPECT_NE(table.find("A.Example:8080", "/anything"), nullptr);
}

// Guards against reading before the start of a path that does not start with a slash, or that is shorter than every
// prefix.
TEST(RouteTable, FindsNoRouteForPathsWithoutMatchingPrefix)
{
    const RouteTable table({ route("a", "a.example", "/x/") });
    EXPECT_EQ(table.find("a.example", ""), nullptr);
    EXPECT_EQ(table.find("a.example", "*"), nullptr);
    EXPECT_EQ(table.find("a.example", "/"), nullptr);
}

// Guards against requests for services without weight, and against a wrong split.
TEST(Route, SelectsServiceByWeight)
{
    Route split = route("a", "a.example", "/");
    split.shares = { { "none", 0 }, { "most", 90 }, { "rest", 10 } };
    EXPECT_EQ(selectService(split, 0.0), "most");
    EXPECT_EQ(selectService(split, 0.899), "most");
    EXPECT_EQ(selectService(split, 0.901), "rest");
    EXPECT_EQ(selectService(split, 0.9999999), "rest");
    EXPECT_EQ(selectService(route("b", "b", "/"), 0.5), "");
}

// Guards against a stale read that restores an older catalog.
TEST(CatalogRegistry, RefusesOlderAndEqualVersions)
{
    CatalogRegistry catalogs;
    EXPECT_EQ(catalogs.current(), nullptr);
    ServiceCatalog catalog;
    catalog.version = 7;
    EXPECT_TRUE(catalogs.activateIfNewer(catalog));
    catalog.version = 6;
    EXPECT_FALSE(catalogs.activateIfNewer(catalog));
    catalog.version = 7;
    EXPECT_FALSE(catalogs.activateIfNewer(catalog));
    EXPECT_EQ(catalogs.current()->catalog.version, 7);
    catalog.version = 12;
    EXPECT_TRUE(catalogs.activateIfNewer(catalog));
}

#include <Cyclamenstair/Fleet/SoftwareVersions.h>
#include <Cyclamenstair/Fleet/StreamOrigins.h>

#include <gtest/gtest.h>

using namespace cyclamenstair;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

} // namespace

// Guards against a stream of an unknown version that counts as one of the version that serves now, while another has
// served lately or the node does not yet know.
TEST(SoftwareVersions, SoleVersionNeedsCompleteKnowledge)
{
    SoftwareVersions versions;
    versions.confirm(start + SoftwareVersions::lifetime);
    versions.observe({ "s", "v1" }, start);
    EXPECT_FALSE(versions.soleVersion("s", start));
    versions.setComplete(true);
    EXPECT_EQ(versions.soleVersion("s", start), "v1");
    EXPECT_FALSE(versions.soleVersion("other", start));
    EXPECT_FALSE(versions.isMixed(start));
    versions.observe({ "s", "v2" }, start + std::chrono::seconds(1));
    EXPECT_FALSE(versions.soleVersion("s", start + std::chrono::seconds(2)));
    EXPECT_TRUE(versions.isMixed(start + std::chrono::seconds(2)));
    const auto end = start + SoftwareVersions::lifetime;
    EXPECT_EQ(versions.soleVersion("s", end), "v2");
    EXPECT_FALSE(versions.isMixed(end));
    EXPECT_EQ(versions.versions(end), (std::set<ServiceVersion> { { "s", "v2" } }));
}

// Guards against a stream that goes on at the only version that the node knows, while it has been cut off from news of
// others, has stood still, or its machine was suspended.
TEST(SoftwareVersions, SoleVersionNeedsRecentConfirmation)
{
    SoftwareVersions versions;
    versions.setComplete(true);
    versions.observe({ "s", "v1" }, start);
    EXPECT_FALSE(versions.soleVersion("s", start));
    versions.confirm(start);
    versions.confirm(start - std::chrono::seconds(9));
    const auto end = start + SoftwareVersions::confirmationLifetime;
    EXPECT_EQ(versions.soleVersion("s", end - milliseconds(1)), "v1");
    EXPECT_FALSE(versions.soleVersion("s", end));
    EXPECT_FALSE(versions.isCurrent(end));
    versions.setSuspendedTime(milliseconds(1000));
    EXPECT_FALSE(versions.soleVersion("s", end - milliseconds(1000)));
    versions.confirm(end);
    EXPECT_EQ(versions.soleVersion("s", end), "v1");
}

// Guards against two services with a version each that count as mixed.
TEST(SoftwareVersions, ServicesAreIndependent)
{
    SoftwareVersions versions;
    versions.confirm(start);
    versions.setComplete(true);
    versions.observe({ "a", "v1" }, start);
    versions.observe({ "b", "v2" }, start);
    EXPECT_FALSE(versions.isMixed(start));
    EXPECT_EQ(versions.soleVersion("a", start), "v1");
    EXPECT_EQ(versions.soleVersion("b", start), "v2");
}

// Guards against origins that are lost, sent twice, or passed round between nodes without end.
TEST(StreamOrigins, OriginsAreTakenAndMergedOnce)
{
    StreamOrigins origins;
    origins.record("r-1", "v1", start);
    origins.record("r-2", "v2", start);
    const auto recorded = origins.takeRecorded();
    EXPECT_EQ(recorded.size(), 2U);
    EXPECT_TRUE(origins.takeRecorded().empty());
    StreamOrigins others;
    EXPECT_EQ(others.merge(recorded, start).size(), 2U);
    EXPECT_TRUE(others.merge(recorded, start).empty());
    EXPECT_TRUE(others.takeRecorded().empty());
    EXPECT_EQ(others.find("r-1"), "v1");
    EXPECT_EQ(others.find("r-2"), "v2");
    EXPECT_FALSE(others.find("r-3"));
    others.expire(start + SoftwareVersions::lifetime);
    EXPECT_FALSE(others.find("r-1"));
}

// Guards against origins that take memory without a bound.
TEST(StreamOrigins, NumberIsBounded)
{
    StreamOrigins origins;
    std::vector<StreamOrigin> rows;
    for (uint64_t request = 0; request < StreamOrigins::maxOrigins + 1000; ++request)
        rows.push_back({ request, "v1" });
    (void)origins.merge(rows, start);
    EXPECT_EQ(origins.merge({ rows.front() }, start).size(), 1U);
    EXPECT_TRUE(origins.merge({ rows.back() }, start).empty());
}

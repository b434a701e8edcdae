#include <Cyclamenstair/Membership/GossipTable.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    const TimePoint start {};

    TEST(GossipTable, KeepsTheNewerVersion)
    {
        GossipTable table;
        EXPECT_TRUE(table.apply({ "k", { 2, 1 }, "new" }, start));
        EXPECT_FALSE(table.apply({ "k", { 1, 9 }, "old" }, start));
        EXPECT_EQ(table.find("k")->payload, "new");
        table.publish("k", 1, "older writer", start);
        EXPECT_EQ(table.find("k")->payload, "new");
    }

    // Guards against entries that one exchange in each direction leaves different.
    RC_GTEST_PROP(GossipTable, anExchangeMakesTwoTablesEqual, ())
    {
        GossipTable a;
        GossipTable b;
        for (auto* table : { &a, &b }) {
            const auto count = *rc::gen::inRange(0, 20);
            for (int i = 0; i < count; ++i) {
                const auto key = "k" + std::to_string(*rc::gen::inRange(0, 10));
                const GossipVersion version { *rc::gen::inRange<uint64_t>(1, 4), *rc::gen::inRange<uint64_t>(1, 4) };
                table->apply(
                    { key, version, std::to_string(version.epoch) + "." + std::to_string(version.counter) }, start);
            }
        }
        const auto difference = b.compare(a.digest());
        for (const auto& entry : difference.newer)
            a.apply(entry, start);
        for (const auto& entry : a.entries(difference.wanted))
            b.apply(entry, start);
        const auto left = a.entriesWithPrefix("");
        const auto right = b.entriesWithPrefix("");
        RC_ASSERT(left.size() == right.size());
        for (size_t i = 0; i < left.size(); ++i)
            RC_ASSERT(left[i].key == right[i].key && left[i].version == right[i].version
                && left[i].payload == right[i].payload);
    }

} // namespace
} // namespace cyclamenstair

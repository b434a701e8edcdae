#include <Cyclamenstair/Membership/GossipTable.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    const TimePoint start {};
    constexpr Duration retention = milliseconds(10000);

    /// One exchange as two nodes run it over their connection.
    void exchange(GossipTable& asking, GossipTable& answering, TimePoint now)
    {
        const auto beats = asking.freshBeats(GossipTable::beatWindow, GossipTable::maxBeatsInRequest, now);
        answering.applyBeats(beats, now);
        const auto buckets = answering.differingBuckets(asking.bucketHashes(now), now);
        const auto difference = asking.compare(buckets, answering.rows(buckets, now), now);
        for (const auto& entry : difference.newer)
            answering.apply(entry, now);
        for (const auto& entry : answering.entriesByHash(difference.wanted, now))
            asking.apply(entry, now);
        asking.applyBeats(
            answering.freshBeats(GossipTable::beatWindow, GossipTable::maxBeatsInResponse, now, beats), now);
    }

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
        exchange(a, b, start);
        const auto left = a.entriesWithPrefix("");
        const auto right = b.entriesWithPrefix("");
        RC_ASSERT(left.size() == right.size());
        for (size_t i = 0; i < left.size(); ++i)
            RC_ASSERT(left[i].key == right[i].key && left[i].version == right[i].version
                && left[i].payload == right[i].payload);
        RC_ASSERT(a.bucketHashes(start) == b.bucketHashes(start));
    }

    // Guards against a dead member that peers bring back to each other for ever, also when each exchange comes right
    // after the removal at one side and when new nodes join that hear of it late.
    RC_GTEST_PROP(GossipTable, aDeadMemberDisappearsInBoundedTime, ())
    {
        std::vector<std::unique_ptr<GossipTable>> nodes;
        const auto addNode = [&] {
            nodes.push_back(std::make_unique<GossipTable>(std::vector { GossipRetention { "m/", retention } }));
        };
        for (int i = 0; i < 4; ++i)
            addNode();
        nodes[0]->heartbeat("m/dead", 1, "payload", start);
        nodes[0]->heartbeat("m/dead", 1, "payload", start);
        auto now = start;
        const auto advance = [&] { now += milliseconds(*rc::gen::inRange(1, 1500)); };
        while (now < start + 2 * retention) {
            const auto a = *rc::gen::inRange<size_t>(0, nodes.size());
            const auto b = *rc::gen::inRange<size_t>(0, nodes.size());
            if (a != b)
                exchange(*nodes[a], *nodes[b], now);
            if (nodes.size() < 8 && *rc::gen::inRange(0, 4) == 0)
                addNode();
            nodes[a]->removeExpired(now);
            advance();
        }
        // A beat is passed on for beatWindow after it was heard, at most once by each of 8 nodes.
        now = std::max(now, start + retention + 8 * GossipTable::beatWindow + milliseconds(1));
        for (const auto& node : nodes) {
            RC_ASSERT(node->liveEntries("m/", now).empty());
            node->removeExpired(now);
            RC_ASSERT(node->size() == 0);
        }
    }

    // Guards against heartbeats that get lost when nothing else differs.
    TEST(GossipTable, HeartbeatsPassWithoutVersions)
    {
        GossipTable a;
        GossipTable b;
        a.heartbeat("m/a", 1, "p", start);
        exchange(a, b, start);
        const auto hashes = a.bucketHashes(start);
        const auto later = start + milliseconds(5000);
        a.heartbeat("m/a", 1, "p", later);
        EXPECT_EQ(a.bucketHashes(later), hashes);
        exchange(a, b, later);
        EXPECT_EQ(b.recentKeys("m/", milliseconds(1000), later).size(), 1U);
        EXPECT_EQ(b.find("m/a")->beat, 1U);
    }

    // Guards against a table that grows with every replaced VM: 2,500 new ids in a day.
    TEST(GossipTable, ThousandsOfReplacedNodesDoNotGrowTheTable)
    {
        GossipTable a({ { "m/", retention } });
        GossipTable b({ { "m/", retention } });
        auto now = start;
        size_t largest = 0;
        for (int i = 0; i < 2500; ++i) {
            now += milliseconds(34560);
            a.heartbeat("m/node-" + std::to_string(i), static_cast<uint64_t>(i), "p", now);
            exchange(b, a, now);
            a.removeExpired(now);
            b.removeExpired(now);
            largest = std::max({ largest, a.size(), b.size() });
        }
        EXPECT_LE(largest, 2U);
    }

} // namespace
} // namespace cyclamenstair

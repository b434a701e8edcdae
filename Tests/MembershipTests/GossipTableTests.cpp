#include <Cyclamenstair/Membership/GossipTable.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    const TimePoint start {};
    constexpr Duration retention = milliseconds(10000);

    /// Runs one anti-entropy exchange, as two nodes do over their connection.
    void exchange(GossipTable& initiator, GossipTable& responder, TimePoint now)
    {
        const auto heartbeats
            = initiator.recentHeartbeats(GossipTable::heartbeatWindow, GossipTable::maxHeartbeatsInRequest, now);
        responder.applyHeartbeats(heartbeats, now);
        const auto buckets = responder.differingBuckets(initiator.bucketHashes(now), now);
        const auto difference = initiator.compare(buckets, responder.rows(buckets, now), now);
        for (const auto& entry : difference.newer)
            responder.apply(entry, now);
        for (const auto& entry : responder.entriesByHash(difference.missingKeyHashes, now))
            initiator.apply(entry, now);
        initiator.applyHeartbeats(responder.recentHeartbeats(GossipTable::heartbeatWindow,
                                      GossipTable::maxHeartbeatsInResponse, now, heartbeats),
            now);
    }

    // Guards against an older version or an older writer replacing a newer entry.
    TEST(GossipTable, KeepsTheNewerVersion)
    {
        GossipTable table;
        EXPECT_TRUE(table.apply({ "k", { 2, 1 }, "new" }, start));
        EXPECT_FALSE(table.apply({ "k", { 1, 9 }, "old" }, start));
        EXPECT_EQ(table.find("k")->payload, "new");
        table.publish("k", 1, "older writer", start);
        EXPECT_EQ(table.find("k")->payload, "new");
    }

    // Guards against entries that still differ after an exchange.
    RC_GTEST_PROP(GossipTable, exchangeMakesTwoTablesEqual, ())
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
        const auto entriesOfA = a.entriesWithPrefix("");
        const auto entriesOfB = b.entriesWithPrefix("");
        RC_ASSERT(entriesOfA.size() == entriesOfB.size());
        for (size_t i = 0; i < entriesOfA.size(); ++i)
            RC_ASSERT(entriesOfA[i].key == entriesOfB[i].key && entriesOfA[i].version == entriesOfB[i].version
                && entriesOfA[i].payload == entriesOfB[i].payload);
        RC_ASSERT(a.bucketHashes(start) == b.bucketHashes(start));
    }

    // Guards against peers that restore a dead member's entry to each other indefinitely, also if an exchange follows
    // the removal on one side or new nodes receive the entry late.
    RC_GTEST_PROP(GossipTable, deadMemberIsRemovedInBoundedTime, ())
    {
        std::vector<std::unique_ptr<GossipTable>> nodes;
        const auto addNode = [&] {
            nodes.push_back(std::make_unique<GossipTable>(std::vector { GossipRetention { "m/", retention } }));
        };
        for (int i = 0; i < 4; ++i)
            addNode();
        nodes[0]->publishHeartbeat("m/dead", 1, "payload", start);
        nodes[0]->publishHeartbeat("m/dead", 1, "payload", start);
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
        // A node transfers a heartbeat for heartbeatWindow after receiving it; each of the 8 nodes advances at most
        // once.
        now = std::max(now, start + retention + 8 * GossipTable::heartbeatWindow + milliseconds(1));
        for (const auto& node : nodes) {
            RC_ASSERT(node->liveEntries("m/", now).empty());
            node->removeExpired(now);
            RC_ASSERT(node->size() == 0);
        }
    }

    // Guards against heartbeats that are not transferred when no version differs.
    TEST(GossipTable, HeartbeatsAreTransferredWithoutVersionChange)
    {
        GossipTable a;
        GossipTable b;
        a.publishHeartbeat("m/a", 1, "p", start);
        exchange(a, b, start);
        const auto hashes = a.bucketHashes(start);
        const auto later = start + milliseconds(5000);
        a.publishHeartbeat("m/a", 1, "p", later);
        EXPECT_EQ(a.bucketHashes(later), hashes);
        exchange(a, b, later);
        EXPECT_EQ(b.recentKeys("m/", milliseconds(1000), later).size(), 1U);
        EXPECT_EQ(b.find("m/a")->heartbeat, 1U);
    }

    // Guards against a table that grows with each replaced VM; the test replaces 2,500 VMs within a day.
    TEST(GossipTable, ReplacedNodesDoNotGrowTheTable)
    {
        GossipTable a({ { "m/", retention } });
        GossipTable b({ { "m/", retention } });
        auto now = start;
        size_t maxSize = 0;
        for (int i = 0; i < 2500; ++i) {
            now += milliseconds(34560);
            a.publishHeartbeat("m/node-" + std::to_string(i), static_cast<uint64_t>(i), "p", now);
            exchange(b, a, now);
            a.removeExpired(now);
            b.removeExpired(now);
            maxSize = std::max({ maxSize, a.size(), b.size() });
        }
        EXPECT_LE(maxSize, 2U);
    }

} // namespace
} // namespace cyclamenstair

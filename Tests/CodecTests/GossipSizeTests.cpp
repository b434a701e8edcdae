#include <Cyclamenstair/Codec/PeerMessageCodec.h>
#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Core/Random.h>

#include <gtest/gtest.h>
#include <iostream>
#include <memory>

namespace cyclamenstair {
namespace {

    const TimePoint start {};
    constexpr Duration gossipInterval = milliseconds(500);
    constexpr Duration heartbeatInterval = milliseconds(2000);
    constexpr Duration memberTimeout = milliseconds(6000);
    constexpr size_t frameBytes = 4 + 32; ///< Length and authentication code.
    constexpr size_t maxControlBytesPerSecond = 4096; ///< Design page, section 1.5.

    std::string memberPayload(int node)
    {
        const auto id = "node-" + std::to_string(1000 + node);
        return encodeMember({ id, id + "/0123456789abcdef0123456789abcdef", "10.0.12.34:8082", "10.0.12.34:8081",
            "region-1", "domain-" + std::to_string(node % 4), false });
    }

    std::string memberKey(int node) { return "member/node-" + std::to_string(1000 + node); }

    void addTargets(GossipTable& table, int targets)
    {
        for (int i = 0; i < targets; ++i) {
            const auto id = "runner-" + std::to_string(1000 + i);
            const TargetStatus status { id, TargetKind::Engine, "10.0.56.78:8000", "pool-" + std::to_string(i / 64),
                "domain-" + std::to_string(i % 4), "instance-0123456789abcdef", 80ULL << 30, false,
                { "model-0001", "model-0002", "adapter-0003", "adapter-0004" } };
            table.apply({ "target/" + id, { 3, 7 }, encodeTargetStatus(status) }, start);
        }
    }

    size_t stateBytes(const GossipTable& table)
    {
        size_t bytes = 0;
        for (const auto& entry : table.entriesWithPrefix(""))
            bytes += entry.key.size() + entry.payload.size();
        return bytes;
    }

    /// Runs one exchange with encoded messages; returns its bytes in both directions.
    size_t exchange(GossipTable& asking, GossipTable& answering, TimePoint now)
    {
        const auto beats
            = asking.recentHeartbeats(GossipTable::heartbeatWindow, GossipTable::maxHeartbeatsInRequest, now);
        const auto request = encodePeerMessage(GossipRequestMessage { 1, asking.bucketHashes(now), beats });
        answering.applyHeartbeats(beats, now);
        const auto buckets = answering.differingBuckets(asking.bucketHashes(now), now);
        const auto newer = answering.recentHeartbeats(
            GossipTable::heartbeatWindow, GossipTable::maxHeartbeatsInResponse, now, beats);
        const auto response
            = encodePeerMessage(GossipResponseMessage { 1, buckets, answering.rows(buckets, now), newer });
        asking.applyHeartbeats(newer, now);
        return request.size() + response.size() + 2 * frameBytes;
    }

    /// An idle fleet with equal entries and running heartbeats.
    struct FleetSize {
        const char* name;
        int nodes;
        int targets;
    };

    class IdleGossip : public testing::TestWithParam<FleetSize> { };

    // Guards against an idle exchange whose cost grows with the number of entries, and against heartbeats that are
    // passed on so rarely that a live member looks dead. A node sends its half of the exchanges that it starts and of
    // those that others start with it, which is one whole exchange for each that it starts.
    TEST_P(IdleGossip, StaysWithinTheNodesShareAndKeepsMembersAlive)
    {
        const auto [name, nodes, targets] = GetParam();
        Random random(20261204);
        std::vector<std::unique_ptr<GossipTable>> tables;
        std::vector<TimePoint> nextStep;
        std::vector<TimePoint> nextBeat;
        for (int node = 0; node < nodes; ++node) {
            tables.push_back(std::make_unique<GossipTable>());
            addTargets(*tables.back(), targets);
            for (int member = 0; member < nodes; ++member)
                tables.back()->apply({ memberKey(member), { 1, 1 }, memberPayload(member) }, start);
            nextStep.push_back(start + Duration(randomIndex(random, gossipInterval.count())));
            nextBeat.push_back(start + Duration(randomIndex(random, heartbeatInterval.count())));
        }
        const auto end = start + milliseconds(20000);
        size_t bytes = 0;
        size_t exchanges = 0;
        size_t silent = 0;
        for (auto now = start; now < end; now += milliseconds(10)) {
            for (size_t node = 0; node < tables.size(); ++node) {
                if (now < nextStep[node])
                    continue;
                nextStep[node] += gossipInterval;
                if (now >= nextBeat[node]) {
                    nextBeat[node] += heartbeatInterval;
                    const auto member = static_cast<int>(node);
                    tables[node]->publishHeartbeat(memberKey(member), 1, memberPayload(member), now);
                }
                const auto peer = randomIndex(random, tables.size());
                if (peer == node)
                    continue;
                const auto count = exchange(*tables[node], *tables[peer], now);
                // The first seconds start from heartbeats that are all equal.
                if (now >= start + memberTimeout) {
                    bytes += count;
                    ++exchanges;
                }
            }
            if (now >= start + 2 * memberTimeout && (now - start) % milliseconds(1000) == Duration(0)) {
                for (const auto& table : tables)
                    silent += tables.size() - table->recentKeys("member/", memberTimeout, now).size();
            }
        }
        const auto perExchange = bytes / exchanges;
        const auto perSecond = perExchange * static_cast<size_t>(milliseconds(1000) / gossipInterval);
        std::cout << name << ": " << tables[0]->size() << " entries, " << stateBytes(*tables[0]) << " bytes of state, "
                  << perExchange << " bytes an idle exchange, " << perSecond << " bytes/s sent by a node\n";
        EXPECT_LE(perSecond, maxControlBytesPerSecond);
        EXPECT_EQ(silent, 0U);
    }

    INSTANTIATE_TEST_SUITE_P(Fleets, IdleGossip,
        testing::Values(FleetSize { "today", 9, 16 }, FleetSize { "region", 175, 863 }),
        [](const auto& info) { return std::string(info.param.name); });

    // Guards against a new node that never gets the entries, because they are larger than a frame: 6,900 runners.
    TEST(GossipSize, ANewNodeGetsAllEntriesInMessagesThatFitAFrame)
    {
        constexpr size_t maxFrameBytes = (1 << 20) + (64 << 10);
        GossipTable full;
        GossipTable empty;
        addTargets(full, 6900);
        ASSERT_GT(stateBytes(full), maxFrameBytes);
        int exchanges = 0;
        for (; empty.size() < full.size() && exchanges < 10; ++exchanges) {
            const auto buckets = full.differingBuckets(empty.bucketHashes(start), start);
            const auto rows = full.rows(buckets, start);
            EXPECT_LE(encodePeerMessage(GossipResponseMessage { 1, buckets, rows, {} }).size(), maxFrameBytes);
            const auto difference = empty.compare(buckets, rows, start);
            const GossipPushAckMessage ack { 0, full.entriesByHash(difference.missingKeyHashes, start) };
            EXPECT_LE(encodePeerMessage(ack).size(), maxFrameBytes);
            for (const auto& entry : ack.entries)
                empty.apply(entry, start);
        }
        EXPECT_EQ(empty.bucketHashes(start), full.bucketHashes(start));
        std::cout << "6900 entries passed in " << exchanges << " exchanges\n";
    }

    // Guards against an exchange that grows with the fleet if all 1,400 nodes were in one group: the cost of an
    // exchange has an upper limit, whatever differs among the heartbeats.
    TEST(GossipSize, ExchangeOf1400NodesStaysWithinTheNodesShare)
    {
        const auto now = start + milliseconds(100000);
        GossipTable asking;
        GossipTable answering;
        constexpr int nodes = 1400;
        for (int node = 0; node < nodes; ++node) {
            const auto age = heartbeatInterval * node / nodes;
            asking.apply({ memberKey(node), { 1, 1 }, memberPayload(node), 1000, age }, now);
            answering.apply({ memberKey(node), { 1, 1 }, memberPayload(node), 1001, age }, now);
        }
        const auto state = stateBytes(asking);
        const auto bytes = exchange(asking, answering, now);
        std::cout << "fleet: " << asking.size() << " entries, " << state << " bytes of state, " << bytes
                  << " bytes an idle exchange, " << 2 * bytes << " bytes/s sent by a node\n";
        EXPECT_LE(2 * bytes, maxControlBytesPerSecond);
    }

} // namespace
} // namespace cyclamenstair

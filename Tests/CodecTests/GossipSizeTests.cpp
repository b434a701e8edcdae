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
    constexpr size_t frameOverheadBytes = 4 + 32; ///< Length and HMAC of a frame.
    constexpr size_t maxControlBytesPerSecond = 4096; ///< Design page, section 1.5.

    std::string memberPayload(int node)
    {
        const auto id = "node-" + std::to_string(1000 + node);
        return encodeMember({ id, id + "/0123456789abcdef0123456789abcdef", "10.0.12.34:8082", "10.0.12.34:8081",
            "region-1", "domain-" + std::to_string(node % 4), false });
    }

    std::string memberKey(int node) { return "member/node-" + std::to_string(1000 + node); }

    void addTargetEntries(GossipTable& table, int targets)
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

    /// Runs one gossip exchange with encoded messages; returns its size in bytes, both directions together.
    size_t exchange(GossipTable& initiator, GossipTable& responder, TimePoint now)
    {
        const auto heartbeats
            = initiator.recentHeartbeats(GossipTable::heartbeatWindow, GossipTable::maxHeartbeatsInRequest, now);
        const auto request = encodePeerMessage(GossipRequestMessage { 1, initiator.bucketHashes(now), heartbeats });
        responder.applyHeartbeats(heartbeats, now);
        const auto buckets = responder.differingBuckets(initiator.bucketHashes(now), now);
        const auto responseHeartbeats = responder.recentHeartbeats(
            GossipTable::heartbeatWindow, GossipTable::maxHeartbeatsInResponse, now, heartbeats);
        const auto response
            = encodePeerMessage(GossipResponseMessage { 1, buckets, responder.rows(buckets, now), responseHeartbeats });
        initiator.applyHeartbeats(responseHeartbeats, now);
        return request.size() + response.size() + 2 * frameOverheadBytes;
    }

    /// Size of an idle fleet, in which all nodes hold equal entries and only heartbeats change.
    struct FleetSize {
        const char* name;
        int nodes;
        int targets;
    };

    class IdleGossip : public testing::TestWithParam<FleetSize> { };

    // Guards against an idle exchange whose size grows with the number of entries, and against heartbeats that spread
    // so slowly that a live member is considered dead. A node sends half of each exchange that it initiates and, on
    // average, half of an equal number initiated by others, so the bytes of a whole exchange count per initiated one.
    TEST_P(IdleGossip, StaysWithinByteRateAndKeepsMembersAlive)
    {
        const auto [name, nodes, targets] = GetParam();
        Random random(20261204);
        std::vector<std::unique_ptr<GossipTable>> tables;
        std::vector<TimePoint> nextExchange;
        std::vector<TimePoint> nextHeartbeat;
        for (int node = 0; node < nodes; ++node) {
            tables.push_back(std::make_unique<GossipTable>());
            addTargetEntries(*tables.back(), targets);
            for (int member = 0; member < nodes; ++member)
                tables.back()->apply({ memberKey(member), { 1, 1 }, memberPayload(member) }, start);
            nextExchange.push_back(start + Duration(randomIndex(random, gossipInterval.count())));
            nextHeartbeat.push_back(start + Duration(randomIndex(random, heartbeatInterval.count())));
        }
        const auto endTime = start + milliseconds(20000);
        size_t bytes = 0;
        size_t exchanges = 0;
        size_t missingMembers = 0;
        for (auto now = start; now < endTime; now += milliseconds(10)) {
            for (size_t node = 0; node < tables.size(); ++node) {
                if (now < nextExchange[node])
                    continue;
                nextExchange[node] += gossipInterval;
                if (now >= nextHeartbeat[node]) {
                    nextHeartbeat[node] += heartbeatInterval;
                    const auto member = static_cast<int>(node);
                    tables[node]->publishHeartbeat(memberKey(member), 1, memberPayload(member), now);
                }
                const auto peer = randomIndex(random, tables.size());
                if (peer == node)
                    continue;
                const auto exchangeBytes = exchange(*tables[node], *tables[peer], now);
                // Skips the first seconds, in which most heartbeats are still equal.
                if (now >= start + memberTimeout) {
                    bytes += exchangeBytes;
                    ++exchanges;
                }
            }
            if (now >= start + 2 * memberTimeout && (now - start) % milliseconds(1000) == Duration(0)) {
                for (const auto& table : tables)
                    missingMembers += tables.size() - table->recentKeys("member/", memberTimeout, now).size();
            }
        }
        const auto bytesPerExchange = bytes / exchanges;
        const auto bytesPerSecond = bytesPerExchange * static_cast<size_t>(milliseconds(1000) / gossipInterval);
        std::cout << name << ": " << tables[0]->size() << " entries, " << stateBytes(*tables[0]) << " bytes of state, "
                  << bytesPerExchange << " bytes per idle exchange, " << bytesPerSecond << " bytes/s sent by a node\n";
        EXPECT_LE(bytesPerSecond, maxControlBytesPerSecond);
        EXPECT_EQ(missingMembers, 0U);
    }

    INSTANTIATE_TEST_SUITE_P(Fleets, IdleGossip,
        testing::Values(FleetSize { "today", 9, 16 }, FleetSize { "region", 175, 863 }),
        [](const auto& info) { return std::string(info.param.name); });

    // Guards against a new node that never receives the entries because together they exceed a frame, as those of 6,900
    // targets do.
    TEST(GossipSize, NewNodeReceivesAllEntriesInMessagesThatFitFrame)
    {
        constexpr size_t maxFrameBytes = (1 << 20) + (64 << 10);
        GossipTable fullTable;
        GossipTable emptyTable;
        addTargetEntries(fullTable, 6900);
        ASSERT_GT(stateBytes(fullTable), maxFrameBytes);
        int exchanges = 0;
        for (; emptyTable.size() < fullTable.size() && exchanges < 10; ++exchanges) {
            const auto buckets = fullTable.differingBuckets(emptyTable.bucketHashes(start), start);
            const auto rows = fullTable.rows(buckets, start);
            EXPECT_LE(encodePeerMessage(GossipResponseMessage { 1, buckets, rows, {} }).size(), maxFrameBytes);
            const auto difference = emptyTable.compare(buckets, rows, start);
            const GossipPushAckMessage ack { 0, fullTable.entriesByHash(difference.missingKeyHashes, start) };
            EXPECT_LE(encodePeerMessage(ack).size(), maxFrameBytes);
            for (const auto& entry : ack.entries)
                emptyTable.apply(entry, start);
        }
        EXPECT_EQ(emptyTable.bucketHashes(start), fullTable.bucketHashes(start));
        std::cout << "6900 entries transferred in " << exchanges << " exchanges\n";
    }

    // Guards against an exchange whose size grows with the fleet, here 1,400 nodes in one gossip group. The size has an
    // upper bound even if all heartbeats differ.
    TEST(GossipSize, ExchangeOf1400NodesStaysWithinByteRate)
    {
        const auto now = start + milliseconds(100000);
        GossipTable initiator;
        GossipTable responder;
        constexpr int nodes = 1400;
        for (int node = 0; node < nodes; ++node) {
            const auto age = heartbeatInterval * node / nodes;
            initiator.apply({ memberKey(node), { 1, 1 }, memberPayload(node), 1000, age }, now);
            responder.apply({ memberKey(node), { 1, 1 }, memberPayload(node), 1001, age }, now);
        }
        const auto totalStateBytes = stateBytes(initiator);
        const auto bytes = exchange(initiator, responder, now);
        std::cout << "fleet: " << initiator.size() << " entries, " << totalStateBytes << " bytes of state, " << bytes
                  << " bytes per idle exchange, " << 2 * bytes << " bytes/s sent by a node\n";
        EXPECT_LE(2 * bytes, maxControlBytesPerSecond);
    }

} // namespace
} // namespace cyclamenstair

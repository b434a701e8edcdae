#include <Cyclamenstair/Codec/PeerMessageCodec.h>
#include <Cyclamenstair/Codec/RecordCodec.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    TEST(RecordCodec, RoundTripsPlan)
    {
        Plan plan;
        plan.revision = 7;
        plan.models.push_back({ "m", 5, 2, Priority::High, milliseconds(9) });
        plan.adapters.push_back({ "a", "m", 3, 1, Priority::Low, Duration(0) });
        plan.services.push_back({ "s", Priority::Normal, milliseconds(1), true });
        plan.callers.push_back({ "c", "salt$hash", Priority::High, milliseconds(2), 1.5, 3, { "m", "s" } });
        EXPECT_EQ(decodePlan(encodePlan(plan)), plan);
    }

    TEST(RecordCodec, RoundTripsLedger)
    {
        TargetLedger ledger("t");
        ledger.takeOver("a");
        ledger.beginLoad("m", 5, 10);
        ledger.takeOver("b");
        const auto decoded = decodeLedger(encodeLedger(ledger));
        EXPECT_EQ(decoded.owner(), "b");
        EXPECT_EQ(decoded.epoch(), 2U);
        EXPECT_EQ(decoded.entries(), ledger.entries());
    }

    TEST(RecordCodec, RoundTripsPlanDeltaAndChunkSet)
    {
        PlanDelta delta;
        delta.revision = 9;
        delta.changed.models.push_back({ "m", 5, 2, Priority::High, milliseconds(9) });
        delta.removedModels = { "n" };
        delta.removedCallers = { "c", "d" };
        EXPECT_EQ(decodePlanDelta(encodePlanDelta(delta)), delta);
        const auto chunks = decodeChunkSet(encodeChunkSet({ 5, 6 }));
        EXPECT_EQ(chunks.sinceUnixMs, 5U);
        EXPECT_EQ(chunks.chunkCount, 6U);
    }

    template <typename Message> Message roundTrip(const Message& message)
    {
        return std::get<Message>(decodePeerMessage(encodePeerMessage(message)));
    }

    TEST(PeerMessageCodec, RoundTripsGossip)
    {
        const auto push
            = roundTrip(GossipPushMessage { { { "k", { 1, 2 }, std::string("\0x", 2), 3, milliseconds(4) } }, { 77 } });
        EXPECT_EQ(push.entries.at(0).payload, std::string("\0x", 2));
        EXPECT_EQ(push.entries.at(0).version, (GossipVersion { 1, 2 }));
        EXPECT_EQ(push.entries.at(0).heartbeat, 3U);
        EXPECT_EQ(push.entries.at(0).age, milliseconds(4));
        EXPECT_EQ(push.wanted.at(0), 77U);
        const auto response = roundTrip(GossipResponseMessage { 5, { 31 }, { { 6, { 7, 8 } } }, { { 9, 10 } } });
        EXPECT_EQ(response.planRevision, 5U);
        EXPECT_EQ(response.buckets.at(0), 31U);
        EXPECT_EQ(response.rows.at(0).keyHash, 6U);
        EXPECT_EQ(response.rows.at(0).version, (GossipVersion { 7, 8 }));
        EXPECT_EQ(response.heartbeats.at(0).count, 10U);
    }

    TEST(PeerMessageCodec, RoundTripsPlanFetchAndAnnouncement)
    {
        const auto response = roundTrip(PlanFetchResponseMessage { 5, { "d", "e" }, "part", 6, 7 });
        EXPECT_EQ(response.deltas, (std::vector<std::string> { "d", "e" }));
        EXPECT_EQ(response.part, "part");
        EXPECT_EQ(response.offset, 6U);
        EXPECT_EQ(response.totalBytes, 7U);
        EXPECT_EQ(roundTrip(PlanAnnounceMessage { 3, "a:1" }).address, "a:1");
        EXPECT_EQ(roundTrip(AuditFetchResponseMessage { { "x" } }).entries.at(0), "x");
    }

    // Guards against a crash on bytes that are not a message, and against a truncated ledger that is decoded.
    RC_GTEST_PROP(Codec, handlesArbitraryBytesWithoutCrashing, (const std::string& bytes))
    {
        const auto decodeOrReject = [&] {
            try {
                decodePeerMessage(bytes);
                return;
            } catch (const Exception&) {
            }
        };
        decodeOrReject();
        RC_ASSERT_THROWS_AS(decodeLedger(bytes.substr(0, 3)), Exception);
    }

    // Guards against a crash on a record with one corrupted byte.
    RC_GTEST_PROP(Codec, handlesCorruptedRecordsWithoutCrashing, ())
    {
        TargetLedger ledger("target");
        ledger.takeOver("owner");
        ledger.beginLoad("model", 5, 10);
        auto bytes = encodeLedger(ledger);
        bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        try {
            decodeLedger(bytes);
        } catch (const Exception&) {
        }
    }

} // namespace
} // namespace cyclamenstair

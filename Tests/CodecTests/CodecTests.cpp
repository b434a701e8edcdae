#include <Cyclamenstair/Codec/PeerMessageCodec.h>
#include <Cyclamenstair/Codec/RecordCodec.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    TEST(RecordCodec, PlanSurvivesTheRoundTrip)
    {
        Plan plan;
        plan.revision = 7;
        plan.models.push_back({ "m", 5, 2, Priority::High, milliseconds(9) });
        plan.adapters.push_back({ "a", "m", 3, 1, Priority::Low, Duration(0) });
        plan.services.push_back({ "s", Priority::Normal, milliseconds(1), true });
        plan.callers.push_back({ "c", "salt$hash", Priority::High, milliseconds(2), 1.5, 3, { "m", "s" } });
        EXPECT_EQ(decodePlan(encodePlan(plan)), plan);
    }

    TEST(RecordCodec, LedgerSurvivesTheRoundTrip)
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

    TEST(PeerMessageCodec, GossipSurvivesTheRoundTrip)
    {
        const auto decoded = decodePeerMessage(
            encodePeerMessage(GossipResponseMessage { { { "k", { 1, 2 }, std::string("\0x", 2) } }, { "w" } }));
        const auto& message = std::get<GossipResponseMessage>(decoded);
        EXPECT_EQ(message.entries.at(0).payload, std::string("\0x", 2));
        EXPECT_EQ(message.entries.at(0).version, (GossipVersion { 1, 2 }));
        EXPECT_EQ(message.wanted.at(0), "w");
    }

    // Guards against a crash or a silent acceptance of bytes that are no record.
    RC_GTEST_PROP(Codec, refusesArbitraryBytesWithoutCrashing, (const std::string& bytes))
    {
        const auto decodeAll = [&] {
            try {
                decodePeerMessage(bytes);
                return;
            } catch (const Exception&) {
            }
        };
        decodeAll();
        RC_ASSERT_THROWS_AS(decodeLedger(bytes.substr(0, 3)), Exception);
    }

    // Guards against a crash on records that were damaged in one byte.
    RC_GTEST_PROP(Codec, survivesDamagedRecords, ())
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

#include <Cyclamenstair/Codec/PeerMessageCodec.h>
#include <Cyclamenstair/Codec/PlacementCodec.h>
#include <Cyclamenstair/Codec/RecordCodec.h>

#include <gtest/gtest.h>

namespace cyclamenstair {
namespace {

    TEST(PlacementCodec, RoundTripsDemandAndPortions)
    {
        const DemandSummary summary { "n", { { "m", { 1.5, 2.5 } } } };
        EXPECT_EQ(decodeDemand(encodeDemand(summary)).demand, summary.demand);
        LeasedPortions portions("weights");
        portions.renew("n/1", 2, 0, 3, 77);
        EXPECT_EQ(decodePortions(encodePortions(portions)).portions(), portions.portions());
    }

    // Guards against an open order whose stored record omits fields needed to resolve the order, such as a lost
    // response.
    TEST(PlacementCodec, RoundTripsOpenOrders)
    {
        TargetLedger ledger("t");
        ledger.takeOver("a");
        ledger.beginLoad("m", 5, 10);
        ledger.recordLostResponse("m");
        ledger.reconcile({ "i1", 0, { "m", "x" } }, 10);
        ledger.takeOver("b");
        ledger.beginLoad("m", 5, 10);
        const auto decoded = decodeLedger(encodeLedger(ledger));
        EXPECT_EQ(decoded.entries(), ledger.entries());
        EXPECT_EQ(decoded.instance(), "i1");
    }

    TEST(PlacementCodec, RoundTripsOrderMessages)
    {
        const auto query
            = std::get<OrderQueryMessage>(decodePeerMessage(encodePeerMessage(OrderQueryMessage { "t", "n/1", 7 })));
        EXPECT_EQ(query.target, "t");
        EXPECT_EQ(query.incarnation, "n/1");
        EXPECT_EQ(query.epoch, 7U);
        const auto response = std::get<OrderAnswerMessage>(
            decodePeerMessage(encodePeerMessage(OrderAnswerMessage { { OrderClosure::Closed, { "m" } } })));
        EXPECT_EQ(response.state.closure, OrderClosure::Closed);
        EXPECT_EQ(response.state.unanswered, std::vector<std::string> { "m" });
    }

} // namespace
} // namespace cyclamenstair

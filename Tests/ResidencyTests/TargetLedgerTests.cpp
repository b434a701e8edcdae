#include <Cyclamenstair/Residency/OrderBook.h>
#include <Cyclamenstair/Residency/TargetLedger.h>

#include <gtest/gtest.h>

namespace cyclamenstair {
namespace {

    constexpr uint64_t capacity = 100;

    TargetLedger ledgerOf(const std::string& owner)
    {
        TargetLedger ledger("t1");
        ledger.takeOver(owner);
        return ledger;
    }

    TEST(TargetLedger, RefusesLoadBeyondCapacity)
    {
        auto ledger = ledgerOf("a");
        EXPECT_TRUE(ledger.beginLoad("m1", 60, capacity));
        EXPECT_FALSE(ledger.beginLoad("m2", 41, capacity));
        EXPECT_TRUE(ledger.beginLoad("m3", 40, capacity));
        EXPECT_EQ(ledger.reservedBytes(), 100U);
    }

    // Guards against an overcommit by a load of a former owner that takes effect after the takeover.
    TEST(TargetLedger, TakeoverKeepsTheMemoryOfOpenLoadsReserved)
    {
        auto ledger = ledgerOf("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.takeOver("b");
        ledger.reconcile({ "i1", 0, {} });
        EXPECT_TRUE(ledger.isUnsettled("m1"));
        EXPECT_FALSE(ledger.beginLoad("m2", 60, capacity));
        // Loading the same artifact makes the reservation real and needs no further memory.
        EXPECT_TRUE(ledger.beginLoad("m1", 60, capacity));
        EXPECT_EQ(ledger.reservedBytes(), 60U);
    }

    TEST(TargetLedger, AcknowledgedEpochSettlesOrdersOfFormerOwners)
    {
        auto ledger = ledgerOf("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.takeOver("b");
        ledger.reconcile({ "i1", ledger.epoch(), {} });
        EXPECT_EQ(ledger.find("m1"), nullptr);
        EXPECT_EQ(ledger.reservedBytes(), 0U);
    }

    TEST(TargetLedger, ReportOfTheSenderSettlesItsOrders)
    {
        auto ledger = ledgerOf("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.takeOver("b");
        ledger.settleSender("a", { "i1", 0, { "m1" } });
        EXPECT_TRUE(ledger.isReachable("m1"));
    }

    // Guards against routing to a copy that a late unload of a former owner can still remove.
    TEST(TargetLedger, UnsettledUnloadIsNotReachable)
    {
        auto ledger = ledgerOf("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.finishLoad("m1", true);
        ledger.beginUnload("m1");
        ledger.takeOver("b");
        ledger.reconcile({ "i1", 0, { "m1" } });
        EXPECT_FALSE(ledger.isReachable("m1"));
        EXPECT_FALSE(ledger.beginUnload("m1"));
        EXPECT_EQ(ledger.reservedBytes(), 60U);
    }

    // Guards against an entry that is dropped while the owner's own unload order has no answer yet.
    TEST(TargetLedger, OpenUnloadOfTheOwnerKeepsItsEntry)
    {
        auto ledger = ledgerOf("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.finishLoad("m1", true);
        ledger.beginUnload("m1");
        ledger.reconcile({ "i1", ledger.epoch(), { "m1" } });
        EXPECT_EQ(ledger.reservedBytes(), 60U);
    }

    // Guards against requests sent for an artifact that a restart removed, and against its memory staying reserved.
    TEST(TargetLedger, ArtifactLostInARestartIsLoadedAgain)
    {
        auto ledger = ledgerOf("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.finishLoad("m1", true);
        EXPECT_TRUE(ledger.reconcile({ "i2", 0, {} }));
        EXPECT_FALSE(ledger.isReachable("m1"));
        // The report is evidence of absence and no order is open, so nothing may stay reserved.
        EXPECT_EQ(ledger.find("m1"), nullptr);
        EXPECT_TRUE(ledger.beginLoad("m1", 60, capacity));
        EXPECT_EQ(ledger.reservedBytes(), 60U);
    }

    // Guards against the first of two former owners' orders being forgotten when the second is settled.
    TEST(TargetLedger, OrdersOfTwoFormerOwnersAreSettledSeparately)
    {
        auto ledger = ledgerOf("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.takeOver("b");
        ledger.beginLoad("m1", 60, capacity);
        ledger.takeOver("c");
        EXPECT_EQ(ledger.unsettledSenders(), (std::vector<std::string> { "a", "b" }));
        ledger.settleSender("b", { "i1", 0, {} });
        EXPECT_FALSE(ledger.beginLoad("m2", 60, capacity));
        ledger.settleSender("a", { "i1", 0, {} });
        EXPECT_TRUE(ledger.beginLoad("m2", 60, capacity));
    }

    // Guards against memory being freed although an attempt without an answer can still load the artifact.
    TEST(TargetLedger, LostAttemptStaysOpenAfterTheRepeatIsAnswered)
    {
        auto ledger = ledgerOf("a");
        ledger.reconcile({ "i1", 0, {} });
        ledger.beginLoad("m1", 60, capacity);
        ledger.loseAnswer("m1");
        EXPECT_FALSE(ledger.beginLoad("m2", 10, capacity)) << "a second order is open at a target without fencing";
        EXPECT_TRUE(ledger.beginLoad("m1", 60, capacity));
        ledger.finishLoad("m1", true);
        EXPECT_TRUE(ledger.isReachable("m1"));
        EXPECT_FALSE(ledger.beginUnload("m1"));
        EXPECT_FALSE(ledger.release());
        ledger.reconcile({ "i1", 0, { "m1" } });
        ledger.reconcile({ "i2", 0, {} });
        EXPECT_EQ(ledger.reservedBytes(), 0U);
    }

    // Guards against a restart before the end of sending being taken as evidence.
    TEST(TargetLedger, OnlyARestartAfterTheSendersVmIsGoneSettles)
    {
        auto ledger = ledgerOf("a");
        ledger.reconcile({ "i1", 0, {} });
        ledger.beginLoad("m1", 60, capacity);
        ledger.takeOver("b");
        ledger.reconcile({ "i2", 0, {} });
        EXPECT_EQ(ledger.reservedBytes(), 60U);
        ledger.closeSender("a");
        ledger.reconcile({ "i3", 0, {} });
        EXPECT_EQ(ledger.reservedBytes(), 60U);
        ledger.reconcile({ "i4", 0, {} });
        EXPECT_EQ(ledger.reservedBytes(), 0U);
    }

    // Guards against loads beside an artifact whose size nobody knows.
    TEST(TargetLedger, ForeignArtifactIsUnloadedBeforeAnyLoad)
    {
        auto ledger = ledgerOf("a");
        ledger.reconcile({ "i1", 0, { "x" } }, capacity);
        EXPECT_EQ(ledger.reservedBytes(), capacity);
        EXPECT_FALSE(ledger.isReachable("x"));
        EXPECT_FALSE(ledger.beginLoad("m1", 1, capacity));
        EXPECT_TRUE(ledger.beginUnload("x"));
        ledger.finishUnload("x");
        EXPECT_TRUE(ledger.beginLoad("m1", 1, capacity));
    }

    // Guards against adapters without their base model.
    TEST(TargetLedger, AdapterNeedsItsBaseModel)
    {
        auto ledger = ledgerOf("a");
        EXPECT_FALSE(ledger.beginLoad("a1", 5, capacity, "m1"));
        ledger.beginLoad("m1", 60, capacity);
        ledger.finishLoad("m1", true);
        EXPECT_TRUE(ledger.beginLoad("a1", 5, capacity, "m1"));
        ledger.finishLoad("a1", true);
        EXPECT_FALSE(ledger.beginUnload("m1"));
        EXPECT_TRUE(ledger.beginUnload("a1"));
    }

    // Guards against a former owner that confirms its orders as closed and sends one afterwards.
    TEST(OrderBook, ClosedEpochSendsNoOrder)
    {
        OrderBook book;
        ASSERT_TRUE(book.begin("t", 1));
        EXPECT_EQ(book.close("t", 2).closure, OrderClosure::Open);
        book.end("t", "m1", false);
        EXPECT_FALSE(book.begin("t", 1));
        const auto state = book.close("t", 2);
        EXPECT_EQ(state.closure, OrderClosure::Closed);
        EXPECT_EQ(state.unanswered, std::vector<std::string> { "m1" });
        EXPECT_TRUE(book.begin("t", 3));
    }

} // namespace
} // namespace cyclamenstair

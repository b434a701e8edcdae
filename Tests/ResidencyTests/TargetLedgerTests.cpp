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
        EXPECT_TRUE(ledger.find("m1")->isUnsettled);
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

    TEST(TargetLedger, ArtifactLostInARestartIsLoadedAgain)
    {
        auto ledger = ledgerOf("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.finishLoad("m1", true);
        EXPECT_TRUE(ledger.reconcile({ "i2", 0, {} }));
        EXPECT_FALSE(ledger.isReachable("m1"));
        EXPECT_EQ(ledger.reservedBytes(), 60U);
    }

} // namespace
} // namespace cyclamenstair

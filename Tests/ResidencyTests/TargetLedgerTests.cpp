#include <Cyclamenstair/Residency/OrderTracker.h>
#include <Cyclamenstair/Residency/TargetLedger.h>

#include <gtest/gtest.h>

namespace cyclamenstair {
namespace {

    constexpr uint64_t capacity = 100;

    TargetLedger makeLedger(const std::string& owner)
    {
        TargetLedger ledger("t1");
        ledger.takeOver(owner);
        return ledger;
    }

    // Guards against reserving more than the target's memory.
    TEST(TargetLedger, RejectsLoadBeyondCapacity)
    {
        auto ledger = makeLedger("a");
        EXPECT_TRUE(ledger.beginLoad("m1", 60, capacity));
        EXPECT_FALSE(ledger.beginLoad("m2", 41, capacity));
        EXPECT_TRUE(ledger.beginLoad("m3", 40, capacity));
        EXPECT_EQ(ledger.reservedBytes(), 100U);
    }

    // Guards against overcommitted memory when a previous owner's load takes effect after the takeover.
    TEST(TargetLedger, TakeoverKeepsTheMemoryOfOpenLoadsReserved)
    {
        auto ledger = makeLedger("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.takeOver("b");
        ledger.reconcile({ "i1", 0, {} });
        EXPECT_TRUE(ledger.hasUnresolvedOrderFor("m1"));
        EXPECT_FALSE(ledger.beginLoad("m2", 60, capacity));
        // A load of the same artifact uses the existing reservation.
        EXPECT_TRUE(ledger.beginLoad("m1", 60, capacity));
        EXPECT_EQ(ledger.reservedBytes(), 60U);
    }

    // Guards against memory that stays reserved for orders that the target rejects because of their epoch.
    TEST(TargetLedger, AcknowledgedEpochResolvesOrdersOfPreviousOwners)
    {
        auto ledger = makeLedger("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.takeOver("b");
        ledger.reconcile({ "i1", ledger.epoch(), {} });
        EXPECT_EQ(ledger.find("m1"), nullptr);
        EXPECT_EQ(ledger.reservedBytes(), 0U);
    }

    // Guards against orders that stay unresolved after their sender has confirmed that they were answered.
    TEST(TargetLedger, ConfirmationOfTheSenderResolvesItsOrders)
    {
        auto ledger = makeLedger("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.takeOver("b");
        ledger.resolveOrdersFrom("a", { "i1", 0, { "m1" } });
        EXPECT_TRUE(ledger.isReachable("m1"));
    }

    // Guards against routing to a copy that a previous owner's delayed unload can still remove.
    TEST(TargetLedger, ArtifactWithUnresolvedUnloadIsNotReachable)
    {
        auto ledger = makeLedger("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.finishLoad("m1", true);
        ledger.beginUnload("m1");
        ledger.takeOver("b");
        ledger.reconcile({ "i1", 0, { "m1" } });
        EXPECT_FALSE(ledger.isReachable("m1"));
        EXPECT_FALSE(ledger.beginUnload("m1"));
        EXPECT_EQ(ledger.reservedBytes(), 60U);
    }

    // Guards against dropping an entry while the owner's own unload order is unanswered.
    TEST(TargetLedger, OpenUnloadOfTheOwnerKeepsItsEntry)
    {
        auto ledger = makeLedger("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.finishLoad("m1", true);
        ledger.beginUnload("m1");
        ledger.reconcile({ "i1", ledger.epoch(), { "m1" } });
        EXPECT_EQ(ledger.reservedBytes(), 60U);
    }

    // Guards against routing to an artifact that a restart removed, and against its memory staying reserved.
    TEST(TargetLedger, ArtifactLostInARestartCanBeLoadedAgain)
    {
        auto ledger = makeLedger("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.finishLoad("m1", true);
        EXPECT_TRUE(ledger.reconcile({ "i2", 0, {} }));
        EXPECT_FALSE(ledger.isReachable("m1"));
        // The report proves the artifact absent and no order is open, so no memory may stay reserved.
        EXPECT_EQ(ledger.find("m1"), nullptr);
        EXPECT_TRUE(ledger.beginLoad("m1", 60, capacity));
        EXPECT_EQ(ledger.reservedBytes(), 60U);
    }

    // Guards against dropping the first previous owner's order when the second one's is resolved.
    TEST(TargetLedger, OrdersOfTwoPreviousOwnersAreResolvedSeparately)
    {
        auto ledger = makeLedger("a");
        ledger.beginLoad("m1", 60, capacity);
        ledger.takeOver("b");
        ledger.beginLoad("m1", 60, capacity);
        ledger.takeOver("c");
        EXPECT_EQ(ledger.unresolvedSenders(), (std::vector<std::string> { "a", "b" }));
        ledger.resolveOrdersFrom("b", { "i1", 0, {} });
        EXPECT_FALSE(ledger.beginLoad("m2", 60, capacity));
        ledger.resolveOrdersFrom("a", { "i1", 0, {} });
        EXPECT_TRUE(ledger.beginLoad("m2", 60, capacity));
    }

    // Guards against freeing memory although an unanswered attempt can still load the artifact.
    TEST(TargetLedger, UnansweredAttemptStaysOpenAfterTheRetryIsAnswered)
    {
        auto ledger = makeLedger("a");
        ledger.reconcile({ "i1", 0, {} });
        ledger.beginLoad("m1", 60, capacity);
        ledger.recordLostResponse("m1");
        EXPECT_FALSE(ledger.beginLoad("m2", 10, capacity))
            << "a second order may not be open at a target that ignores fencing";
        EXPECT_TRUE(ledger.beginLoad("m1", 60, capacity));
        ledger.finishLoad("m1", true);
        EXPECT_TRUE(ledger.isReachable("m1"));
        EXPECT_FALSE(ledger.beginUnload("m1"));
        EXPECT_FALSE(ledger.release());
        ledger.reconcile({ "i1", 0, { "m1" } });
        ledger.reconcile({ "i2", 0, {} });
        EXPECT_EQ(ledger.reservedBytes(), 0U);
    }

    // Guards against accepting a restart as evidence while the sender could still send orders.
    TEST(TargetLedger, OnlyARestartAfterRemovalOfTheSendersVmResolvesItsOrders)
    {
        auto ledger = makeLedger("a");
        ledger.reconcile({ "i1", 0, {} });
        ledger.beginLoad("m1", 60, capacity);
        ledger.takeOver("b");
        ledger.reconcile({ "i2", 0, {} });
        EXPECT_EQ(ledger.reservedBytes(), 60U);
        ledger.closeOrdersFrom("a");
        ledger.reconcile({ "i3", 0, {} });
        EXPECT_EQ(ledger.reservedBytes(), 60U);
        ledger.reconcile({ "i4", 0, {} });
        EXPECT_EQ(ledger.reservedBytes(), 0U);
    }

    // Guards against loads on a target that holds an artifact of unknown size.
    TEST(TargetLedger, ForeignArtifactIsUnloadedBeforeAnyLoad)
    {
        auto ledger = makeLedger("a");
        ledger.reconcile({ "i1", 0, { "x" } }, capacity);
        EXPECT_EQ(ledger.reservedBytes(), capacity);
        EXPECT_FALSE(ledger.isReachable("x"));
        EXPECT_FALSE(ledger.beginLoad("m1", 1, capacity));
        EXPECT_TRUE(ledger.beginUnload("x"));
        ledger.finishUnload("x");
        EXPECT_TRUE(ledger.beginLoad("m1", 1, capacity));
    }

    // Guards against adapters on targets without their base model.
    TEST(TargetLedger, AdapterNeedsItsBaseModel)
    {
        auto ledger = makeLedger("a");
        EXPECT_FALSE(ledger.beginLoad("a1", 5, capacity, "m1"));
        ledger.beginLoad("m1", 60, capacity);
        ledger.finishLoad("m1", true);
        EXPECT_TRUE(ledger.beginLoad("a1", 5, capacity, "m1"));
        ledger.finishLoad("a1", true);
        EXPECT_FALSE(ledger.beginUnload("m1"));
        EXPECT_TRUE(ledger.beginUnload("a1"));
    }

    // Guards against a previous owner that sends an order after it has confirmed that its orders are closed.
    TEST(OrderTracker, ClosedEpochAllowsNoOrder)
    {
        OrderTracker tracker;
        ASSERT_TRUE(tracker.begin("t", 1));
        EXPECT_EQ(tracker.closeEpochsBefore("t", 2).closure, OrderClosure::Open);
        tracker.end("t", "m1", false);
        EXPECT_FALSE(tracker.begin("t", 1));
        const auto state = tracker.closeEpochsBefore("t", 2);
        EXPECT_EQ(state.closure, OrderClosure::Closed);
        EXPECT_EQ(state.unanswered, std::vector<std::string> { "m1" });
        EXPECT_TRUE(tracker.begin("t", 3));
    }

} // namespace
} // namespace cyclamenstair

#include <Cyclamenstair/Membership/LeaseState.h>
#include <Cyclamenstair/Membership/MemberTable.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    const TimePoint start {};

    MemberState stateAt(const MemberTable& table, const std::string& node, Duration timeSinceStart)
    {
        const auto member = table.find(node, start + timeSinceStart);
        return member ? member->state : MemberState::Dead;
    }

    // Guards against a dead member that stays alive because peers resend its last heartbeat.
    TEST(MemberTable, OnlyAdvancingHeartbeatsKeepAMemberAlive)
    {
        MemberTable table({});
        table.observe("a", { 1, 1, 1 }, start);
        EXPECT_EQ(stateAt(table, "a", milliseconds(6000)), MemberState::Alive);
        table.observe("a", { 1, 1, 1 }, start + milliseconds(6000));
        EXPECT_EQ(stateAt(table, "a", milliseconds(6001)), MemberState::Dead);
        table.observe("a", { 1, 1, 2 }, start + milliseconds(6000));
        EXPECT_EQ(stateAt(table, "a", milliseconds(6001)), MemberState::Alive);
        table.observe("a", { 2, 1, 0 }, start + milliseconds(20000));
        EXPECT_EQ(stateAt(table, "a", milliseconds(20001)), MemberState::Alive);
    }

    // Guards against a wrong state: dead despite a lease or a lagging VM list, or alive despite removal from the list.
    TEST(MemberTable, LeasesAndVmListDetermineState)
    {
        MemberTable table({});
        table.observe("a", { 1, 1, 1 }, start);
        table.setLeases({ "a", "b" }, start);
        EXPECT_EQ(stateAt(table, "a", milliseconds(7000)), MemberState::Suspect);
        EXPECT_EQ(stateAt(table, "b", milliseconds(7000)), MemberState::Suspect);
        EXPECT_EQ(stateAt(table, "a", milliseconds(90001)), MemberState::Dead);
        table.setLeases({}, start + milliseconds(7000));
        EXPECT_EQ(stateAt(table, "a", milliseconds(7000)), MemberState::Dead);
        // The list lags, so a node that was never listed stays alive.
        table.observe("c", { 1, 1, 1 }, start);
        table.setVms({ { "d", false } }, start + milliseconds(10));
        EXPECT_EQ(stateAt(table, "c", milliseconds(20)), MemberState::Alive);
        table.setVms({ { "c", true } }, start + milliseconds(30));
        EXPECT_EQ(stateAt(table, "c", milliseconds(40)), MemberState::Leaving);
        table.setVms({}, start + milliseconds(50));
        EXPECT_EQ(stateAt(table, "c", milliseconds(60)), MemberState::Dead);
    }

    // Guards against a table that grows with each replaced VM, and against removal before the retention is over.
    TEST(MemberTable, RemovesDeadMembersAfterRetention)
    {
        MemberTable table({});
        table.observe("a", { 1, 1, 1 }, start);
        table.removeDeadMembers(start + milliseconds(60000));
        EXPECT_EQ(table.members(start).size(), 1U);
        table.removeDeadMembers(start + milliseconds(60001));
        EXPECT_TRUE(table.members(start).empty());
    }

    // Guards against a paused holder that relies on an expired lease. In the store a lease runs from the arrival of the
    // call that granted or renewed it; the holder must never consider it current for longer.
    RC_GTEST_PROP(LeaseState, isCurrentOnlyWhileTheLeaseExistsInTheStore, ())
    {
        const Duration timeToLive = milliseconds(15000);
        LeaseState lease(timeToLive);
        auto now = start;
        TimePoint storeExpiry = start;
        for (int step = 0; step < 30; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 20000));
            RC_ASSERT(!lease.isCurrent(now) || now < storeExpiry);
            if (lease.nextAction(now) == LeaseAction::Wait)
                continue;
            const auto callStartedAt = now;
            const auto arrivedAt = callStartedAt + milliseconds(*rc::gen::inRange(0, 3000));
            now = arrivedAt + milliseconds(*rc::gen::inRange(0, 3000));
            if (lease.leaseId() != 0 && arrivedAt >= storeExpiry) {
                lease.setLost();
                continue;
            }
            storeExpiry = arrivedAt + timeToLive;
            if (lease.leaseId() == 0)
                lease.setGranted(step + 1, callStartedAt);
            else
                lease.setRenewed(callStartedAt);
        }
    }

} // namespace
} // namespace cyclamenstair

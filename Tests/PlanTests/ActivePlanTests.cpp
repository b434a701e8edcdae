#include <Cyclamenstair/Plan/ActivePlan.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thread>

namespace cyclamenstair {
namespace {

    Plan planAt(uint64_t revision)
    {
        Plan plan;
        plan.revision = revision;
        return plan;
    }

    // Guards against a stale read that reactivates an older plan.
    RC_GTEST_PROP(ActivePlan, keepsTheGreatestRevision, (const std::vector<uint64_t>& revisions))
    {
        ActivePlan activePlan;
        uint64_t maxRevision = 0;
        for (const auto revision : revisions) {
            const bool isNewer = !activePlan.plan() || revision > maxRevision;
            RC_ASSERT(activePlan.activateIfNewer(planAt(revision)) == isNewer);
            maxRevision = std::max(maxRevision, revision);
            RC_ASSERT(activePlan.revision() == maxRevision);
        }
    }

    // Guards against a waiter that is not notified of a new revision.
    TEST(ActivePlan, NotifiesWaitersOfNewRevision)
    {
        ActivePlan activePlan;
        std::thread writer([&] { activePlan.activateIfNewer(planAt(3)); });
        EXPECT_EQ(activePlan.waitForRevisionAbove(2, std::chrono::seconds(10)), 3U);
        writer.join();
    }

} // namespace
} // namespace cyclamenstair

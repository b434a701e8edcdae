#include <Cyclamenstair/Plan/PlanRegister.h>

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

    // Guards against a stale read that brings an older plan back.
    RC_GTEST_PROP(PlanRegister, holdsTheGreatestRevisionOffered, (const std::vector<uint64_t>& revisions))
    {
        PlanRegister plans;
        uint64_t greatest = 0;
        for (const auto revision : revisions) {
            const bool isNewer = !plans.plan() || revision > greatest;
            RC_ASSERT(plans.offer(planAt(revision)) == isNewer);
            greatest = std::max(greatest, revision);
            RC_ASSERT(plans.revision() == greatest);
        }
    }

    TEST(PlanRegister, WakesWaitersOnNewRevision)
    {
        PlanRegister plans;
        std::thread writer([&] { plans.offer(planAt(3)); });
        EXPECT_EQ(plans.waitForRevisionAbove(2, std::chrono::seconds(10)), 3U);
        writer.join();
    }

} // namespace
} // namespace cyclamenstair

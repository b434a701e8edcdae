#include <Cyclamenstair/Plan/PlanDelta.h>
#include <Cyclamenstair/Plan/SheetParser.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    Plan arbitraryPlan(uint64_t revision)
    {
        Plan plan;
        plan.revision = revision;
        for (int i = 0; i < 6; ++i) {
            const auto digit = std::to_string(i);
            const auto priority = static_cast<Priority>(*rc::gen::inRange(0, 3));
            if (*rc::gen::arbitrary<bool>())
                plan.models.push_back({ "m" + digit, *rc::gen::inRange<uint64_t>(1, 3) << 20, 1, priority, {} });
            if (*rc::gen::arbitrary<bool>())
                plan.services.push_back({ "s" + digit, priority, {}, *rc::gen::arbitrary<bool>() });
            if (*rc::gen::arbitrary<bool>())
                plan.callers.push_back(
                    { "c" + digit, "s$h", priority, milliseconds(5), *rc::gen::inRange(0, 3) / 3.0, 2, {} });
        }
        // The sheet parser rejects a plan without rows and adapters without their model.
        plan.models.push_back({ "z", 1 << 20, 1, Priority::Normal, {} });
        for (int i = 0; i < *rc::gen::inRange(0, 3); ++i)
            plan.adapters.push_back({ "a" + std::to_string(i), "z", 1 << 20, 1, Priority::Low, milliseconds(7) });
        return plan;
    }

    // Guards against a delta that omits or mixes up rows: nodes that apply deltas would then have another plan than
    // nodes that read the full plan.
    RC_GTEST_PROP(PlanDelta, appliedToItsBaseGivesTheNewPlan, ())
    {
        const auto from = arbitraryPlan(7);
        auto to = arbitraryPlan(8);
        const auto delta = PlanDelta::between(from, to);
        RC_ASSERT(delta.appliedTo(from) == to);
        RC_ASSERT((delta.rowCount() == 0)
            == (from.models == to.models && from.adapters == to.adapters && from.services == to.services
                && from.callers == to.callers));
    }

    // Guards against applying a delta to a plan of another revision than its base.
    TEST(PlanDelta, AppliesToItsBaseRevisionOnly)
    {
        Plan base;
        base.revision = 3;
        const auto delta = PlanDelta::between(base, base);
        base.revision = 2;
        EXPECT_FALSE(delta.appliedTo(base));
        base.revision = 4;
        EXPECT_FALSE(delta.appliedTo(base));
    }

    // Guards against showing operators a sheet that differs from the active plan.
    RC_GTEST_PROP(SheetParser, parsesWhatItWrites, ())
    {
        const auto plan = arbitraryPlan(0);
        const auto result = SheetParser::parse(SheetParser::write(plan));
        RC_ASSERT(result.errors.empty());
        RC_ASSERT(*result.plan == plan);
    }

} // namespace
} // namespace cyclamenstair

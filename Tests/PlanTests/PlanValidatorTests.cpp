#include <Cyclamenstair/Plan/PlanValidator.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    using testing::HasSubstr;

    constexpr uint64_t gib = 1ULL << 30;

    std::vector<PlanTarget> threeTargets()
    {
        return { { "t0", "d0", 10 * gib }, { "t1", "d1", 10 * gib }, { "t2", "d1", 10 * gib } };
    }

    ModelSpec model(const std::string& name, uint64_t bytes, uint32_t replicas = 1)
    {
        return { name, bytes, replicas, Priority::Normal, {} };
    }

    /// Models of the checked plan and of the active plan, and part of the expected error; empty if none is expected.
    struct MemoryCase {
        std::vector<ModelSpec> models;
        std::vector<ModelSpec> activePlan;
        std::string error;
    };

    class PlanMemory : public testing::TestWithParam<MemoryCase> { };

    // Guards against accepting a plan that does not fit into memory, or that can only be reached by unloading a model
    // before its new copy is loaded.
    TEST_P(PlanMemory, IsChecked)
    {
        Plan plan;
        plan.models = GetParam().models;
        Plan activePlan;
        activePlan.models = GetParam().activePlan;
        const auto findings = PlanValidator::check(plan, threeTargets(), &activePlan);
        ASSERT_EQ(findings.errors.empty(), GetParam().error.empty());
        if (!findings.errors.empty()) {
            EXPECT_THAT(findings.errors.front().message, HasSubstr(GetParam().error));
        }
    }

    INSTANTIATE_TEST_SUITE_P(All, PlanMemory,
        testing::Values(MemoryCase { { model("a", 6 * gib, 2), model("b", 6 * gib) }, {}, "" },
            MemoryCase { { model("a", 11 * gib) }, {}, "model 'a' (11264 MiB) has room for 0 of 1" },
            // Two copies fit only into the same failure domain.
            MemoryCase { { model("a", 6 * gib, 2), model("b", 6 * gib, 2) }, {}, "has room for" },
            MemoryCase { { model("a", gib, 4) }, {}, "4 replicas, but there are 3 targets" },
            // The changed model needs room for a second copy beside the old one.
            MemoryCase { { model("a", 8 * gib), model("b", 8 * gib), model("c", 8 * gib) },
                { model("a", 7 * gib), model("b", 8 * gib), model("c", 8 * gib) }, "second copy of model 'a'" },
            MemoryCase { { model("a", 8 * gib), model("b", 8 * gib), model("c", 8 * gib) },
                { model("a", 8 * gib), model("b", 8 * gib) }, "" },
            // After a loss of targets the active plan does not fit; a plan with fewer models must still be accepted.
            MemoryCase { { model("a", 8 * gib, 2), model("b", 8 * gib, 2) },
                { model("a", 8 * gib, 2), model("b", 8 * gib, 2), model("c", 8 * gib) }, "" },
            MemoryCase { { model("a", 8 * gib, 2), model("b", 8 * gib, 2) },
                { model("a", 8 * gib, 2), model("b", 8 * gib, 1) }, "has room for" }));

    // Guards against findings without their line, and against warnings that are reported as errors.
    TEST(PlanValidator, ReportsLinesAndSeparatesWarnings)
    {
        const auto sheet = SheetParser::parse(
            "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n"
            "model,a,,9500,3,normal,,,,,,\n"
            "adapter,x,a,100,4,normal,,,,,,\n"
            "caller,c,,,,normal,10,,,5,salt$xyz,\n");
        ASSERT_TRUE(sheet.plan);
        const auto findings = PlanValidator::check(*sheet.plan, {}, nullptr, sheet.lines);
        ASSERT_EQ(findings.errors.size(), 2U);
        EXPECT_EQ(findings.errors[0].line, 3U);
        EXPECT_EQ(findings.errors[1].line, 4U);
        EXPECT_EQ(findings.warnings.size(), 3U);

        Plan plan;
        plan.models = { model("a", 9500ULL << 20, 3) };
        const auto placed = PlanValidator::check(plan, threeTargets());
        EXPECT_TRUE(placed.errors.empty());
        ASSERT_EQ(placed.warnings.size(), 2U);
        EXPECT_THAT(placed.warnings[0].message, HasSubstr("2 failure domains"));
        EXPECT_THAT(placed.warnings[1].message, HasSubstr("92% of all memory"));
    }

    // Guards against accepting a plan that needs more than the total memory of the targets.
    RC_GTEST_PROP(PlanValidator, neverAcceptsMoreThanTotalMemory, ())
    {
        Plan plan;
        uint64_t total = 0;
        for (int i = 0; i < *rc::gen::inRange(1, 12); ++i) {
            plan.models.push_back(model("m" + std::to_string(i + 10), *rc::gen::inRange<uint64_t>(1, 11) * gib,
                *rc::gen::inRange<uint32_t>(1, 4)));
            total += plan.models.back().memoryBytes * plan.models.back().replicas;
        }
        if (PlanValidator::check(plan, threeTargets()).errors.empty())
            RC_ASSERT(total <= 30 * gib);
    }

} // namespace
} // namespace cyclamenstair

#include <Cyclamenstair/Placement/PlacementPolicy.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>

namespace cyclamenstair {
namespace {

    constexpr uint64_t capacity = 100;

    /// Simulated targets whose ledgers execute the policy's orders one at a time.
    class SimulatedPool {
    public:
        void addTarget(const std::string& domain)
        {
            const auto id = "t" + std::to_string(m_ledgers.size());
            auto& ledger = m_ledgers.emplace_back(std::make_unique<TargetLedger>(id));
            ledger->takeOver("owner");
            m_targets.push_back({ id, domain, capacity, false, ledger.get(), true });
        }

        /// Executes one order; returns false if the ledger rejects it.
        bool apply(const PlacementOrder& order)
        {
            for (auto& ledger : m_ledgers) {
                if (ledger->target() != order.target)
                    continue;
                if (order.kind == OrderKind::Load) {
                    if (!ledger->beginLoad(order.artifact, order.memoryBytes, capacity, order.baseModel))
                        return false;
                    ledger->finishLoad(order.artifact, true);
                } else {
                    if (!ledger->beginUnload(order.artifact))
                        return false;
                    ledger->finishUnload(order.artifact);
                }
            }
            return true;
        }

        PlacementInput input(const Plan& plan, const DemandByArtifact& demand, TimePoint now) const
        {
            return { &plan, m_targets, demand, { 3, 25 }, now };
        }

        /// Counts reachable copies on targets that are not leaving.
        size_t reachableCopies(const std::string& artifact) const
        {
            size_t copies = 0;
            for (const auto& target : m_targets)
                copies += !target.isLeaving && target.ledger->isReachable(artifact) ? 1 : 0;
            return copies;
        }

        std::set<std::string> domainsOf(const std::string& artifact) const
        {
            std::set<std::string> domains;
            for (const auto& target : m_targets) {
                if (!target.isLeaving && target.ledger->isReachable(artifact))
                    domains.insert(target.failureDomain);
            }
            return domains;
        }

        bool isWithinMemory() const
        {
            return std::all_of(m_ledgers.begin(), m_ledgers.end(),
                [](const auto& ledger) { return ledger->reservedBytes() <= capacity; });
        }

        std::vector<PlacementTarget>& targets() { return m_targets; }

        /// Repeats decisions and executes their orders until there are none; returns the number of loads.
        size_t applyUntilStable(
            PlacementPolicy& policy, const Plan& plan, const DemandByArtifact& demand, TimePoint now)
        {
            size_t loads = 0;
            for (int round = 0; round < 50; ++round) {
                const auto decision = decidePlacement(policy, input(plan, demand, now));
                if (decision.orders.empty())
                    break;
                for (const auto& order : decision.orders) {
                    EXPECT_TRUE(apply(order)) << order.target << " " << order.artifact;
                    loads += order.kind == OrderKind::Load ? 1 : 0;
                }
            }
            return loads;
        }

    private:
        std::vector<std::unique_ptr<TargetLedger>> m_ledgers;
        std::vector<PlacementTarget> m_targets;
    };

    const TimePoint start(milliseconds(1'000'000'000));

    Plan makePlan(int models, uint64_t bytes, uint32_t replicas)
    {
        Plan plan;
        for (int i = 0; i < models; ++i)
            plan.models.push_back({ "m" + std::to_string(i), bytes, replicas, Priority::Normal, Duration(0) });
        plan.sortRows();
        return plan;
    }

    SimulatedPool makePool(int targets, int domains)
    {
        SimulatedPool pool;
        for (int i = 0; i < targets; ++i)
            pool.addTarget("d" + std::to_string(i % domains));
        return pool;
    }

    std::vector<PlacementPolicy> allPolicies()
    {
        return { FollowDemandPolicy(), HysteresisPolicy({ milliseconds(1000), 1.5, 0.1 }) };
    }

    // Guards against orders that overcommit memory, unload the last copy, or leave an adapter without its base model
    // while the demand, the plan and the set of leaving targets change.
    RC_GTEST_PROP(PlacementPolicy, eachOrderPreservesMemoryBoundAndReachability, ())
    {
        for (auto& policy : allPolicies()) {
            auto pool = makePool(*rc::gen::inRange(2, 7), 3);
            auto now = start;
            for (int phase = 0; phase < 5; ++phase) {
                Plan plan;
                for (int i = 0; i < *rc::gen::inRange(1, 7); ++i)
                    plan.models.push_back({ "m" + std::to_string(i), 20 + 10 * static_cast<uint64_t>(i), 1 + i % 2U,
                        Priority::Normal, Duration(0) });
                for (int i = 0; i < *rc::gen::inRange(0, 4); ++i)
                    plan.adapters.push_back({ "a" + std::to_string(i), "m0", 5, 1, Priority::Normal, Duration(0) });
                plan.sortRows();
                DemandByArtifact demand;
                for (const auto& model : plan.models)
                    demand[model.name] = { *rc::gen::inRange(0, 100) * 1.0, *rc::gen::inRange(0, 100) * 1.0 };
                for (auto& target : pool.targets())
                    target.isLeaving = *rc::gen::inRange(0, 6) == 0;
                for (int round = 0; round < 6; ++round) {
                    now += milliseconds(700);
                    const auto input = pool.input(plan, demand, now);
                    const auto decision = decidePlacement(policy, input);
                    for (const auto& order : decision.orders) {
                        std::map<std::string, size_t> before;
                        for (const auto& model : plan.models)
                            before[model.name] = pool.reachableCopies(model.name);
                        for (const auto& adapter : plan.adapters)
                            before[adapter.name] = pool.reachableCopies(adapter.name);
                        RC_ASSERT(pool.apply(order));
                        RC_ASSERT(pool.isWithinMemory());
                        for (const auto& [artifact, copies] : before)
                            RC_ASSERT(copies == 0 || pool.reachableCopies(artifact) > 0);
                    }
                }
            }
        }
    }

    // Guards against replicas of a model that are all in one failure domain.
    TEST(PlacementPolicy, ReplicasAreInDifferentFailureDomains)
    {
        for (auto& policy : allPolicies()) {
            auto pool = makePool(6, 3);
            const auto plan = makePlan(6, 30, 2);
            pool.applyUntilStable(policy, plan, {}, start);
            for (const auto& model : plan.models)
                EXPECT_GE(pool.domainsOf(model.name).size(), 2U) << model.name;
        }
    }

    // Guards against a target leaving before its models are reachable elsewhere.
    TEST(PlacementPolicy, ModelsOfALeavingTargetAreLoadedElsewhere)
    {
        for (auto& policy : allPolicies()) {
            auto pool = makePool(4, 2);
            const auto plan = makePlan(4, 40, 1);
            pool.applyUntilStable(policy, plan, {}, start);
            pool.targets()[0].isLeaving = true;
            pool.applyUntilStable(policy, plan, {}, start);
            for (const auto& model : plan.models)
                EXPECT_GE(pool.reachableCopies(model.name), 1U) << model.name;
        }
    }

    // Guards against memory that stays unused while a model is in demand.
    TEST(PlacementPolicy, FreeMemoryIsUsedForModelsInDemand)
    {
        for (auto& policy : allPolicies()) {
            auto pool = makePool(3, 3);
            const auto plan = makePlan(2, 40, 1);
            pool.applyUntilStable(policy, plan, { { "m1", { 10, 10 } } }, start);
            EXPECT_EQ(pool.reachableCopies("m1"), 3U);
        }
    }

    // Guards against loads for a burst that ends before the load is worthwhile.
    TEST(HysteresisPolicy, ShortBurstCausesNoLoad)
    {
        PlacementPolicy policy = HysteresisPolicy();
        auto pool = makePool(3, 3);
        const auto plan = makePlan(4, 50, 1);
        pool.applyUntilStable(policy, plan, { { "m0", { 5, 5 } } }, start);
        const auto later = start + milliseconds(3'600'000);
        EXPECT_EQ(pool.applyUntilStable(policy, plan, { { "m0", { 5, 5 } }, { "m1", { 100, 0.01 } } }, later), 0U);
        // Sustained demand moves the unplanned copy, but only after its dwell time.
        EXPECT_GT(pool.applyUntilStable(policy, plan, { { "m0", { 5, 5 } }, { "m1", { 100, 100 } } }, later), 0U);
        EXPECT_EQ(pool.applyUntilStable(policy, plan, { { "m0", { 900, 900 } }, { "m1", { 9, 9 } } }, later), 0U);
    }

    // Guards against alternating between models of nearly equal demand.
    TEST(HysteresisPolicy, SmallDemandDifferencesCauseNoLoad)
    {
        PlacementPolicy policy = HysteresisPolicy();
        auto pool = makePool(3, 3);
        const auto plan = makePlan(5, 50, 1);
        pool.applyUntilStable(policy, plan, { { "m0", { 5, 5 } }, { "m1", { 4, 4 } } }, start);
        const auto later = start + milliseconds(3'600'000);
        EXPECT_EQ(pool.applyUntilStable(policy, plan, { { "m0", { 4, 4 } }, { "m1", { 5, 5 } } }, later), 0U);
    }

    // Guards against decisions that depend on anything except their inputs.
    TEST(PlacementPolicy, EqualInputsGiveEqualOrders)
    {
        const auto plan = makePlan(5, 30, 2);
        const auto pool = makePool(4, 3);
        const auto input = pool.input(plan, { { "m3", { 1, 2 } } }, start);
        for (size_t i = 0; i < allPolicies().size(); ++i) {
            auto first = allPolicies()[i];
            auto second = allPolicies()[i];
            EXPECT_EQ(decidePlacement(first, input).orders, decidePlacement(second, input).orders);
        }
    }

    // Guards against decisions that exceed the load budget.
    TEST(PlacementPolicy, LoadsStayWithinTheBudget)
    {
        for (auto& policy : allPolicies()) {
            const auto decision = decidePlacement(policy, makePool(6, 3).input(makePlan(6, 30, 2), {}, start));
            EXPECT_EQ(decision.orders.size(), 3U);
        }
    }

    // Guards against reserving memory for a pinned artifact twice instead of repeating its load on the same target.
    TEST(PlacementPolicy, PinnedLoadIsRetriedOnItsTarget)
    {
        for (auto& policy : allPolicies()) {
            TargetLedger pinned("t0");
            pinned.takeOver("a");
            pinned.beginLoad("m0", 60, capacity);
            pinned.takeOver("b");
            pinned.reconcile({ "i", 0, {} }, capacity);
            TargetLedger empty("t1");
            empty.takeOver("b");
            const auto plan = makePlan(2, 60, 1);
            const auto decision = decidePlacement(policy,
                { &plan,
                    { { "t0", "d0", capacity, false, &pinned, true }, { "t1", "d1", capacity, false, &empty, true } },
                    {}, { 3, 3 }, start });
            ASSERT_EQ(decision.orders.size(), 2U);
            for (const auto& order : decision.orders)
                EXPECT_EQ(order.artifact, order.target == "t0" ? "m0" : "m1");
        }
    }

} // namespace
} // namespace cyclamenstair

#include <Cyclamenstair/Control/ResidencyPlanner.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cyclamenstair;

namespace {

constexpr double modelMib = 70;

EngineProfile profile(size_t models, uint32_t adaptersOfFirst = 0)
{
    EngineProfile engine;
    engine.slots = 64;
    engine.weightsMib = 230;
    engine.adapterSlots = 8;
    engine.loadsPerSecond = 1.5;
    for (size_t i = 0; i < models; ++i)
        engine.models.push_back(
            { "m" + std::to_string(i), modelMib, milliseconds(2000), i == 0 ? adaptersOfFirst : 0, 0.5 });
    return engine;
}

PlannerTarget target(const std::string& id, const std::vector<std::string>& models)
{
    PlannerTarget target;
    target.id = id;
    for (const auto& model : models)
        target.report.models.push_back({ model, {} });
    return target;
}

std::vector<TargetOrder> plan(const PlannerInput& input)
{
    const ResidencyPlannerSettings settings;
    return ResidencyPlanner(input, settings).plan();
}

PlannerInput inputOf(const EngineProfile& engine, std::vector<PlannerTarget> targets)
{
    return { "drafting", &engine, std::move(targets), {}, 1, 0 };
}

} // namespace

// Guards against a model that no engine has loaded.
TEST(ResidencyPlanner, LoadsModelWithoutCopy)
{
    const auto engine = profile(2);
    auto input = inputOf(engine, { target("i-1", { "m0" }) });
    input.spareLoadBudget = 1;
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, OrderKind::Load);
    EXPECT_EQ(orders[0].model, "m1");
}

// Guards against the end of the process that holds the order lease, when a configuration lists no models.
TEST(ResidencyPlanner, EngineServiceWithoutModelsGetsNoOrders)
{
    const auto engine = profile(0);
    auto input = inputOf(engine, { target("i-1", { "m0" }), target("i-2", {}) });
    input.spareLoadBudget = 1;
    input.demand[{ "drafting", "m0", {} }] = { 1, 1, 1 };
    EXPECT_TRUE(plan(input).empty());
}

// Guards against loads of models without demand that use up the load rate just before a model without a copy is
// requested.
TEST(ResidencyPlanner, ModelWithoutDemandLeavesLoadRateUnused)
{
    const auto engine = profile(2);
    auto input = inputOf(engine, { target("i-1", { "m0" }) });
    EXPECT_TRUE(plan(input).empty());
    input.demand[{ "drafting", "m1", {} }] = { 1, 1, 1 };
    EXPECT_EQ(plan(input).size(), 1U);
}

// Guards against a model in high demand that becomes unavailable when its only engine fails; a load takes up to ten
// seconds.
TEST(ResidencyPlanner, ModelInHighDemandGetsSecondCopy)
{
    const auto engine = profile(5);
    auto input = inputOf(
        engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0", "m3" }), target("i-3", { "m4" }) });
    input.demand[{ "drafting", "m1", {} }] = { 0.2, 1, 0 };
    EXPECT_TRUE(plan(input).empty());
    input.demand[{ "drafting", "m1", {} }] = { 9, 5, 0 };
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, OrderKind::Load);
    EXPECT_EQ(orders[0].model, "m1");
}

// Guards against second copies for availability that use up the load rate needed by a busy model.
TEST(ResidencyPlanner, SecondCopyWaitsForBusyModels)
{
    const auto engine = profile(5);
    auto input = inputOf(
        engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0", "m3" }), target("i-3", { "m4", "m0" }) });
    input.demand[{ "drafting", "m0", {} }] = { 50, 300, 0 };
    input.demand[{ "drafting", "m1", {} }] = { 9, 5, 0 };
    EXPECT_TRUE(plan(input).empty());
    input.spareLoadBudget = 1;
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].model, "m1");
}

// Guards against a second copy that is unloaded for an additional copy of a busy model and loaded again right after.
TEST(ResidencyPlanner, SecondCopyIsNotReplacedByAdditionalCopy)
{
    const auto engine = profile(6);
    auto input = inputOf(engine,
        { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m1", "m3", "m4" }),
            target("i-3", { "m0", "m5", "m3" }) });
    input.demand[{ "drafting", "m0", {} }] = { 50, 300, 0 };
    for (const auto* model : { "m1", "m3" })
        input.demand[{ "drafting", model, {} }] = { 9, 5, 0 };
    EXPECT_TRUE(plan(input).empty());
}

// An engine accepts no orders while it loads a model. Guards against a model in demand that waits for the free memory
// of such an engine.
TEST(ResidencyPlanner, DoesNotWaitForMemoryOfBusyEngine)
{
    const auto engine = profile(5);
    auto input = inputOf(
        engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0", "m1", "m2" }), target("i-3", { "m3" }) });
    input.targets[2].report.isBusy = true;
    input.targets[2].loadingModel = "m3";
    input.demand[{ "drafting", "m4", {} }] = { 1, 9, 9 };
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, OrderKind::Unload);
    EXPECT_EQ(orders[0].replacementModel, "m4");
}

// Guards against copies that are kept for the adapter slots of a model without demand.
TEST(ResidencyPlanner, CopiesForAdapterSlotsRequireDemand)
{
    const auto engine = profile(4, 24);
    auto input = inputOf(engine,
        { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0", "m1", "m3" }),
            target("i-3", { "m0", "m1", "m3" }) });
    input.demand[{ "drafting", "m2", {} }] = { 9, 90, 0 };
    for (auto& target : input.targets)
        target.isAdapterLoading = true; // Prevents adapter orders, so that the plan orders models.
    const auto unloadedForM2 = [&] {
        for (const auto& order : plan(input)) {
            if (order.kind == OrderKind::Unload && order.replacementModel == "m2")
                return order.model;
        }
        return std::string();
    };
    EXPECT_EQ(unloadedForM2(), "m0");
    input.demand[{ "drafting", "m0", {} }] = { 1, 1, 0 };
    EXPECT_EQ(unloadedForM2(), "m1");
}

// Guards against loads above the weight store's rate, and against applying the rate to cached weights.
TEST(ResidencyPlanner, LoadRateAppliesToUncachedWeights)
{
    const auto engine = profile(2);
    auto input = inputOf(engine, { target("i-1", { "m0" }) });
    input.weightLoadBudget = 0;
    EXPECT_TRUE(plan(input).empty());
    input.targets[0].report.cachedModels = { "m1" };
    EXPECT_EQ(plan(input).size(), 1U);
}

// Guards against unloading a copy that is in demand while another one is idle.
TEST(ResidencyPlanner, UnloadsCopyInLeastDemandForBusyModel)
{
    const auto engine = profile(5);
    auto input = inputOf(engine,
        { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m1", "m3", "m4" }),
            target("i-3", { "m3", "m2", "m4" }) });
    input.demand[{ "drafting", "m0", {} }] = { 1, 40, 0 };
    input.demand[{ "drafting", "m3", {} }] = { 1, 30, 0 };
    const auto orders = plan(input);
    ASSERT_FALSE(orders.empty());
    EXPECT_EQ(orders[0].kind, OrderKind::Unload);
    EXPECT_NE(orders[0].model, "m3");
    EXPECT_NE(orders[0].target, "i-1");
    EXPECT_EQ(orders[0].replacementModel, "m0");
}

// Guards against memory reserved for one model that is used for another, so that copies are moved back and forth.
TEST(ResidencyPlanner, ReservedMemoryIsUsedForItsModel)
{
    const auto engine = profile(4);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1" }), target("i-2", { "m2", "m3", "m1" }) });
    input.targets[0].reservedModel = "m2";
    input.demand[{ "drafting", "m3", {} }] = { 1, 90, 0 };
    input.demand[{ "drafting", "m2", {} }] = { 1, 40, 0 };
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, OrderKind::Load);
    EXPECT_EQ(orders[0].model, "m2");
}

// An unload waits for the model's requests at the engine. Guards against unloading a copy with running requests while
// an idle one is available.
TEST(ResidencyPlanner, UnloadsCopyWithFewestRequests)
{
    const auto engine = profile(5);
    auto input = inputOf(engine,
        { target("i-1", { "m0", "m3", "m4" }), target("i-2", { "m1", "m2", "m3" }),
            target("i-3", { "m1", "m2", "m4" }) });
    input.demand[{ "drafting", "m0", {} }] = { 1, 40, 0 };
    input.demand[{ "drafting", "m1", {} }] = { 1, 4, 0 };
    input.demand[{ "drafting", "m2", {} }] = { 1, 4, 0 };
    input.demand[{ "drafting", "m3", {} }] = { 1, 4, 0 };
    input.demand[{ "drafting", "m4", {} }] = { 1, 4, 0 };
    input.targets[1].inFlightByModel = { { "m1", 2 }, { "m2", 2 }, { "m3", 4 } };
    input.targets[2].inFlightByModel = { { "m1", 2 }, { "m2", 2 } };
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, OrderKind::Unload);
    EXPECT_EQ(orders[0].target, "i-3");
    EXPECT_EQ(orders[0].model, "m4");
}

// Guards against models without demand that replace busy copies after an engine has crashed.
TEST(ResidencyPlanner, MissingModelWithoutDemandReplacesNoBusyCopy)
{
    const auto engine = profile(4);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0", "m1", "m2" }) });
    for (const auto* model : { "m0", "m1", "m2" })
        input.demand[{ "drafting", model, {} }] = { 9, 50, 0 };
    EXPECT_TRUE(plan(input).empty());
    input.demand[{ "drafting", "m3", {} }] = { 1, 1, 1 };
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].replacementModel, "m3");
}

// A restarted engine has free memory, but the load rate may not allow a load yet. Guards against unloading a copy
// elsewhere in the meantime.
TEST(ResidencyPlanner, WaitsForEngineWithFreeMemory)
{
    const auto engine = profile(4);
    auto input = inputOf(
        engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0", "m1", "m2" }), target("i-3", {}) });
    input.demand[{ "drafting", "m3", {} }] = { 1, 1, 1 };
    input.targets[0].report.cachedModels = { "m3" };
    input.weightLoadBudget = 0;
    EXPECT_TRUE(plan(input).empty());
    input.weightLoadBudget = 1;
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].target, "i-3");
    EXPECT_EQ(orders[0].kind, OrderKind::Load);
}

// The record of a crashed engine stays in the store for seconds. Guards against counting its copies meanwhile.
TEST(ResidencyPlanner, CopiesOfUnreachableTargetAreNotCounted)
{
    const auto engine = profile(2);
    auto input = inputOf(engine, { target("i-1", { "m0" }), target("i-2", { "m1" }) });
    input.targets[1].isOrderable = false;
    input.demand[{ "drafting", "m1", {} }] = { 1, 1, 0 };
    EXPECT_TRUE(plan(input).empty());
    input.targets[1].isReachable = false;
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].model, "m1");
    EXPECT_EQ(orders[0].target, "i-1");
}

// An unload can wait many seconds for its last request. Guards against a model without a copy that waits for it while
// another engine has free memory.
TEST(ResidencyPlanner, MissingModelUsesFreeMemoryElsewhere)
{
    const auto engine = profile(4);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", {}) });
    input.targets[0].report.isBusy = true;
    input.targets[0].reservedModel = "m3";
    input.targets[0].unloadingModel = "m0";
    input.demand[{ "drafting", "m3", {} }] = { 1, 9, 9 };
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].target, "i-2");
    EXPECT_EQ(orders[0].model, "m3");
}

// Guards against free memory that stays unused: demand that shifts to a model with one copy would have to wait up to
// ten seconds for the second one.
TEST(ResidencyPlanner, FreeMemoryIsUsedForSecondCopies)
{
    const auto engine = profile(3);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0" }) });
    EXPECT_TRUE(plan(input).empty());
    input.spareLoadBudget = 1;
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, OrderKind::Load);
    EXPECT_EQ(orders[0].target, "i-2");
    EXPECT_NE(orders[0].model, "m0");
}

// A load takes seconds and can fail. Guards against unloading the only serving copy of a model while another is
// loading.
TEST(ResidencyPlanner, LoadingCopyDoesNotReplaceServingCopy)
{
    const auto engine = profile(4);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m3", "m1" }) });
    input.targets[1].loadingModel = "m0";
    input.targets[1].report.isBusy = true;
    input.demand[{ "drafting", "m3", {} }] = { 1, 90, 0 };
    for (const auto& order : plan(input))
        EXPECT_NE(order.model, "m0");
}

// Guards against unloading the last copy of a model in favour of a busier one.
TEST(ResidencyPlanner, KeepsLastCopy)
{
    const auto engine = profile(3);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1", "m2" }) });
    input.demand[{ "drafting", "m0", {} }] = { 1, 1000, 0 };
    EXPECT_TRUE(plan(input).empty());
}

// An engine reports a model until the last request of an accepted unload has finished. Guards against counting that
// model as a copy when another one is unloaded.
TEST(ResidencyPlanner, UnloadingModelIsNotCountedAsCopy)
{
    const auto engine = profile(4);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0", "m3", "m2" }) });
    input.targets[0].unloadingModel = "m0";
    input.demand[{ "drafting", "m1", {} }] = { 1, 90, 0 };
    for (const auto& order : plan(input))
        EXPECT_FALSE(order.kind == OrderKind::Unload && order.model == "m0");
}

// Guards against a first request for an adapter that has to wait for its load.
TEST(ResidencyPlanner, LoadsAdaptersBeforeFirstRequest)
{
    const auto engine = profile(1, 3);
    auto input = inputOf(engine, { target("i-1", { "m0" }), target("i-2", { "m0" }) });
    std::set<std::string> placed;
    for (int round = 0; round < 4; ++round) {
        for (const auto& order : plan(input)) {
            ASSERT_FALSE(order.adapter.empty());
            placed.insert(order.adapter);
            for (auto& candidate : input.targets) {
                if (candidate.id == order.target)
                    candidate.report.models[0].adapters.insert(order.adapter);
            }
        }
    }
    EXPECT_EQ(placed, (std::set<std::string> { "a1", "a2", "a3" }));
}

// Guards against adapters without demand that occupy the slots needed by adapters for which requests wait.
TEST(ResidencyPlanner, AdapterInDemandReplacesIdleOne)
{
    const auto engine = profile(1, 9);
    auto input = inputOf(engine, { target("i-1", { "m0" }) });
    for (int number = 1; number <= 8; ++number)
        input.targets[0].report.models[0].adapters.insert("a" + std::to_string(number));
    EXPECT_TRUE(plan(input).empty());
    for (int number = 2; number <= 9; ++number)
        input.demand[{ "drafting", "m0", "a" + std::to_string(number) }] = { 0.5, 1, 0 };
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, OrderKind::Unload);
    EXPECT_EQ(orders[0].adapter, "a1");
    // If all adapters are in demand, none is evicted.
    input.demand[{ "drafting", "m0", "a1" }] = { 0.5, 1, 0 };
    EXPECT_TRUE(plan(input).empty());
}

// Guards against orders that exceed an engine's memory or adapter slots, which crash it.
RC_GTEST_PROP(ResidencyPlannerProperties, OrdersNeverExceedEngineCapacity, ())
{
    const auto modelCount = static_cast<size_t>(*rc::gen::inRange(1, 8));
    const auto engine = profile(modelCount, static_cast<uint32_t>(*rc::gen::inRange(0, 20)));
    auto input = inputOf(engine, {});
    const auto targets = *rc::gen::inRange(1, 5);
    for (int i = 0; i < targets; ++i) {
        auto newTarget = target("i-" + std::to_string(i), {});
        for (int modelsToLoad = *rc::gen::inRange(0, 4); modelsToLoad > 0; --modelsToLoad) {
            const auto name = "m" + std::to_string(*rc::gen::inRange<size_t>(0, modelCount));
            const bool isNew = std::none_of(newTarget.report.models.begin(), newTarget.report.models.end(),
                [&](const auto& model) { return model.name == name; });
            if (isNew)
                newTarget.report.models.push_back({ name, {} });
        }
        newTarget.isOrderable = *rc::gen::arbitrary<bool>();
        newTarget.isLeaving = *rc::gen::arbitrary<bool>();
        newTarget.report.isBusy = *rc::gen::arbitrary<bool>();
        newTarget.report.loadingAdapters = *rc::gen::inRange(0U, 5U);
        input.targets.push_back(std::move(newTarget));
    }
    for (size_t i = 0; i < modelCount; ++i)
        input.demand[{ "drafting", "m" + std::to_string(i), {} }] = { 1, *rc::gen::inRange(0U, 100U), 0 };

    std::set<std::string> orderedTargets;
    for (const auto& order : plan(input)) {
        RC_ASSERT(orderedTargets.insert(order.target).second);
        const auto& orderedTarget = *std::find_if(input.targets.begin(), input.targets.end(),
            [&](const auto& candidate) { return candidate.id == order.target; });
        RC_ASSERT(orderedTarget.isOrderable);
        RC_ASSERT(!orderedTarget.isLeaving);
        RC_ASSERT(!orderedTarget.report.isBusy);
        double usedMib = order.kind == OrderKind::Load && order.adapter.empty() ? modelMib : 0;
        size_t adapters = orderedTarget.report.loadingAdapters + (order.adapter.empty() ? 0 : 1);
        for (const auto& model : orderedTarget.report.models) {
            usedMib += modelMib + 0.5 * static_cast<double>(model.adapters.size());
            adapters += model.adapters.size();
        }
        if (order.kind == OrderKind::Load) {
            RC_ASSERT(usedMib <= engine.weightsMib);
            RC_ASSERT(order.adapter.empty() || adapters <= engine.adapterSlots);
        }
    }
}

#include <Cyclamenstair/Control/ResidencyPlanner.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cyclamenstair;

namespace {

constexpr double modelMib = 70;

EngineProfile profile(size_t models, uint32_t adaptersOfFirst = 0)
{
    EngineProfile engine;
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

TEST(ResidencyPlanner, LoadsAModelWithoutACopy)
{
    const auto engine = profile(2);
    auto input = inputOf(engine, { target("i-1", { "m0" }) });
    input.spareLoads = 1;
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, OrderKind::Load);
    EXPECT_EQ(orders[0].model, "m1");
}

// Guards against a rate that is used up by models that nobody asks for, just before one is asked for that was lost.
TEST(ResidencyPlanner, ModelThatNobodyAsksForLeavesAPartOfTheRate)
{
    const auto engine = profile(2);
    auto input = inputOf(engine, { target("i-1", { "m0" }) });
    EXPECT_TRUE(plan(input).empty());
    input.demand[{ "drafting", "m1", {} }] = { 1, 1, 1 };
    EXPECT_EQ(plan(input).size(), 1U);
}

// Guards against a model that is lost with its only engine while many ask for it; a load takes up to ten seconds.
TEST(ResidencyPlanner, ModelThatIsAskedForOftenGetsASecondCopy)
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

// Guards against second copies that are made for safety while requests of a busy model wait for the rate.
TEST(ResidencyPlanner, SecondCopyWaitsForBusyModels)
{
    const auto engine = profile(5);
    auto input = inputOf(
        engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0", "m3" }), target("i-3", { "m4", "m0" }) });
    input.demand[{ "drafting", "m0", {} }] = { 50, 300, 0 };
    input.demand[{ "drafting", "m1", {} }] = { 9, 5, 0 };
    EXPECT_TRUE(plan(input).empty());
    input.spareLoads = 1;
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].model, "m1");
}

// Guards against a second copy that is given up for a further copy of a busy model, and made again right after.
TEST(ResidencyPlanner, SecondCopyYieldsToNoFurtherCopy)
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

// An engine takes no order for the seconds of a load, so its room does not help a model that is asked for.
TEST(ResidencyPlanner, RoomOfABusyEngineKeepsNoRequestsWaiting)
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
    EXPECT_EQ(orders[0].roomFor, "m4");
}

// Guards against places that stay taken for the adapters of a model after demand has left it.
TEST(ResidencyPlanner, AdapterPlacesAreKeptOnlyForModelsThatAreAskedFor)
{
    const auto engine = profile(4, 24);
    auto input = inputOf(engine,
        { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0", "m1", "m3" }),
            target("i-3", { "m0", "m1", "m3" }) });
    input.demand[{ "drafting", "m2", {} }] = { 9, 90, 0 };
    for (auto& target : input.targets)
        target.hasIncomingAdapter = true; // No adapter can be ordered, so that the round goes to models.
    const auto displaced = [&] {
        for (const auto& order : plan(input)) {
            if (order.kind == OrderKind::Unload && order.roomFor == "m2")
                return order.model;
        }
        return std::string();
    };
    EXPECT_EQ(displaced(), "m0");
    input.demand[{ "drafting", "m0", {} }] = { 1, 1, 0 };
    EXPECT_EQ(displaced(), "m1");
}

// The weight store's rate bounds loads that are not at hand; those that are at hand are free.
TEST(ResidencyPlanner, LoadsFromTheWeightStoreOnlyWithinItsRate)
{
    const auto engine = profile(2);
    auto input = inputOf(engine, { target("i-1", { "m0" }) });
    input.weightLoads = 0;
    EXPECT_TRUE(plan(input).empty());
    input.targets[0].report.cachedModels = { "m1" };
    EXPECT_EQ(plan(input).size(), 1U);
}

TEST(ResidencyPlanner, MakesRoomForABusyModelByTheLeastWantedCopy)
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
    EXPECT_EQ(orders[0].roomFor, "m0");
}

// Room that was made for one model must not be taken by another, or copies go to and fro.
TEST(ResidencyPlanner, ReservedRoomIsUsedForItsModel)
{
    const auto engine = profile(4);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1" }), target("i-2", { "m2", "m3", "m1" }) });
    input.targets[0].reservedFor = "m2";
    input.demand[{ "drafting", "m3", {} }] = { 1, 90, 0 };
    input.demand[{ "drafting", "m2", {} }] = { 1, 40, 0 };
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, OrderKind::Load);
    EXPECT_EQ(orders[0].model, "m2");
}

// An unload waits for the model's requests at the engine, so a copy that runs none makes room at once.
TEST(ResidencyPlanner, MakesRoomWhereTheFewestRequestsRun)
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
    input.targets[1].modelRuns = { { "m1", 2 }, { "m2", 2 }, { "m3", 4 } };
    input.targets[2].modelRuns = { { "m1", 2 }, { "m2", 2 } };
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, OrderKind::Unload);
    EXPECT_EQ(orders[0].target, "i-3");
    EXPECT_EQ(orders[0].model, "m4");
}

// After a crash, models that nobody asks for must not take the place of copies that many requests use.
TEST(ResidencyPlanner, IdleMissingModelDisplacesNoBusyCopy)
{
    const auto engine = profile(4);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0", "m1", "m2" }) });
    for (const auto* model : { "m0", "m1", "m2" })
        input.demand[{ "drafting", model, {} }] = { 9, 50, 0 };
    EXPECT_TRUE(plan(input).empty());
    input.demand[{ "drafting", "m3", {} }] = { 1, 1, 1 };
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].roomFor, "m3");
}

// A restarted engine has room, but the weight store's rate may not allow a load yet; no copy is given up meanwhile.
TEST(ResidencyPlanner, WaitsForAnEngineWithRoom)
{
    const auto engine = profile(4);
    auto input = inputOf(
        engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0", "m1", "m2" }), target("i-3", {}) });
    input.demand[{ "drafting", "m3", {} }] = { 1, 1, 1 };
    input.targets[0].report.cachedModels = { "m3" };
    input.weightLoads = 0;
    EXPECT_TRUE(plan(input).empty());
    input.weightLoads = 1;
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].target, "i-3");
    EXPECT_EQ(orders[0].kind, OrderKind::Load);
}

// The entry of a crashed engine stays in the store for seconds; its copies must not keep a model from being placed.
TEST(ResidencyPlanner, LostTargetHoldsNoCopy)
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

// An unload can wait many seconds for its last request; a model without a copy must not wait for it if an engine has
// room.
TEST(ResidencyPlanner, MissingModelTakesRoomElsewhere)
{
    const auto engine = profile(4);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", {}) });
    input.targets[0].report.isBusy = true;
    input.targets[0].reservedFor = "m3";
    input.targets[0].unloadingModel = "m0";
    input.demand[{ "drafting", "m3", {} }] = { 1, 9, 9 };
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].target, "i-2");
    EXPECT_EQ(orders[0].model, "m3");
}

// A load takes up to ten seconds, so demand that moves to a model with one copy would wait for the second one.
TEST(ResidencyPlanner, RoomThatIsLeftGetsSecondCopies)
{
    const auto engine = profile(3);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0" }) });
    EXPECT_TRUE(plan(input).empty());
    input.spareLoads = 1;
    const auto orders = plan(input);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, OrderKind::Load);
    EXPECT_EQ(orders[0].target, "i-2");
    EXPECT_NE(orders[0].model, "m0");
}

// A load takes seconds, or fails with its engine; until then the model would be served nowhere.
TEST(ResidencyPlanner, CopyThatIsBeingLoadedReplacesNone)
{
    const auto engine = profile(4);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m3", "m1" }) });
    input.targets[1].loadingModel = "m0";
    input.targets[1].report.isBusy = true;
    input.demand[{ "drafting", "m3", {} }] = { 1, 90, 0 };
    for (const auto& order : plan(input))
        EXPECT_NE(order.model, "m0");
}

// The last copy of a model stays, whatever the demand for others.
TEST(ResidencyPlanner, KeepsTheLastCopy)
{
    const auto engine = profile(3);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1", "m2" }) });
    input.demand[{ "drafting", "m0", {} }] = { 1, 1000, 0 };
    EXPECT_TRUE(plan(input).empty());
}

// An engine reports a model until the last request of an accepted unload has ended; it is no copy that another model's
// move may count on.
TEST(ResidencyPlanner, ModelThatIsBeingUnloadedIsNoCopy)
{
    const auto engine = profile(4);
    auto input = inputOf(engine, { target("i-1", { "m0", "m1", "m2" }), target("i-2", { "m0", "m3", "m2" }) });
    input.targets[0].unloadingModel = "m0";
    input.demand[{ "drafting", "m1", {} }] = { 1, 90, 0 };
    for (const auto& order : plan(input))
        EXPECT_FALSE(order.kind == OrderKind::Unload && order.model == "m0");
}

TEST(ResidencyPlanner, PlacesEveryAdapterBeforeItIsAskedFor)
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

// Adapters that nobody asks for must not keep out those that requests wait for.
TEST(ResidencyPlanner, AskedForAdapterReplacesAnIdleOne)
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
    // If all are in use, none is taken away.
    input.demand[{ "drafting", "m0", "a1" }] = { 0.5, 1, 0 };
    EXPECT_TRUE(plan(input).empty());
}

// An engine that is given more than it can hold crashes.
RC_GTEST_PROP(ResidencyPlannerProperties, NeverExceedsAnEngine, ())
{
    const auto modelCount = static_cast<size_t>(*rc::gen::inRange(1, 8));
    const auto engine = profile(modelCount, static_cast<uint32_t>(*rc::gen::inRange(0, 20)));
    auto input = inputOf(engine, {});
    const auto targets = *rc::gen::inRange(1, 5);
    for (int i = 0; i < targets; ++i) {
        auto added = target("i-" + std::to_string(i), {});
        for (int held = *rc::gen::inRange(0, 4); held > 0; --held) {
            const auto name = "m" + std::to_string(*rc::gen::inRange<size_t>(0, modelCount));
            const bool isNew = std::none_of(added.report.models.begin(), added.report.models.end(),
                [&](const auto& model) { return model.name == name; });
            if (isNew)
                added.report.models.push_back({ name, {} });
        }
        added.isOrderable = *rc::gen::arbitrary<bool>();
        added.isLeaving = *rc::gen::arbitrary<bool>();
        added.report.isBusy = *rc::gen::arbitrary<bool>();
        added.report.incomingAdapters = *rc::gen::inRange(0U, 5U);
        input.targets.push_back(std::move(added));
    }
    for (size_t i = 0; i < modelCount; ++i)
        input.demand[{ "drafting", "m" + std::to_string(i), {} }] = { 1, *rc::gen::inRange(0U, 100U), 0 };

    std::set<std::string> ordered;
    for (const auto& order : plan(input)) {
        RC_ASSERT(ordered.insert(order.target).second);
        const auto& at = *std::find_if(input.targets.begin(), input.targets.end(),
            [&](const auto& candidate) { return candidate.id == order.target; });
        RC_ASSERT(at.isOrderable);
        RC_ASSERT(!at.isLeaving);
        RC_ASSERT(!at.report.isBusy);
        double used = order.kind == OrderKind::Load && order.adapter.empty() ? modelMib : 0;
        size_t adapters = at.report.incomingAdapters + (order.adapter.empty() ? 0 : 1);
        for (const auto& model : at.report.models) {
            used += modelMib + 0.5 * static_cast<double>(model.adapters.size());
            adapters += model.adapters.size();
        }
        if (order.kind == OrderKind::Load) {
            RC_ASSERT(used <= engine.weightsMib);
            RC_ASSERT(order.adapter.empty() || adapters <= engine.adapterSlots);
        }
    }
}

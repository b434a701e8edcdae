#include <Cyclamenstair/Fleet/DemandCounter.h>
#include <Cyclamenstair/Fleet/TargetRegistry.h>

#include <gtest/gtest.h>

using namespace cyclamenstair;

namespace {

constexpr TimePoint now { std::chrono::seconds(100) };

TargetRecord engine(const std::string& id, const std::vector<HeldModel>& models = { { "draft", { "a1" } } })
{
    TargetRecord record;
    record.id = id;
    record.service = "drafting";
    record.address = "127.0.0.1:1";
    record.failureDomain = "domain-1";
    record.slots = 4;
    record.models = models;
    return record;
}

class TargetRegistryTest : public testing::Test {
protected:
    AcquireOutcome acquire(const TargetQuery& query, TimePoint at = now) { return registry.acquire(query, at, random); }
    std::string acquiredId(const TargetQuery& query, TimePoint at = now)
    {
        const auto outcome = acquire(query, at);
        const auto* target = std::get_if<AcquiredTarget>(&outcome);
        return target ? target->id : std::string(nameOf(std::get<TargetShortage>(outcome)));
    }

    TargetRegistry registry { { .failureDomain = "domain-1" } };
    Random random { 20261204 };
    TargetQuery draft { "drafting", "draft", {}, {} };
};

} // namespace

// A target that leaves must get no new work, also when an older entry is seen later.
TEST_F(TargetRegistryTest, DrainingTargetGetsNothing)
{
    auto record = engine("i-1");
    registry.update(record, 5);
    EXPECT_EQ(acquiredId(draft), "i-1");
    record.phase = TargetPhase::Draining;
    registry.update(record, 9);
    EXPECT_EQ(acquiredId(draft), "no_target");
    registry.update(engine("i-1"), 7);
    EXPECT_EQ(acquiredId(draft), "no_target");
}

TEST_F(TargetRegistryTest, RemovedTargetGetsNothingUntilANewerEntry)
{
    registry.update(engine("i-1"), 5);
    registry.remove("i-1", 4);
    EXPECT_EQ(acquiredId(draft), "i-1");
    registry.remove("i-1", 6);
    EXPECT_EQ(acquiredId(draft), "no_target");
}

// After an outage a full read is the truth: entries that are missing in it are gone.
TEST_F(TargetRegistryTest, FullReadRemovesMissingEntries)
{
    registry.update(engine("i-1"), 5);
    registry.update(engine("i-2"), 6);
    registry.replaceAll({ { engine("i-2"), 6 } }, 10);
    EXPECT_EQ(registry.records().size(), 1U);
    EXPECT_EQ(acquiredId(draft), "i-2");
}

TEST_F(TargetRegistryTest, NamesWhatIsMissing)
{
    registry.update(engine("i-1"), 1);
    EXPECT_EQ(acquiredId({ "drafting", "other", {}, {} }), "model_absent");
    EXPECT_EQ(acquiredId({ "drafting", "draft", "a9", {} }), "adapter_absent");
    EXPECT_EQ(acquiredId({ "unknown", {}, {}, {} }), "no_target");
    EXPECT_EQ(acquiredId({ "drafting", "draft", "a1", { "i-1" } }), "no_target");
}

TEST_F(TargetRegistryTest, ChoosesTheLeastLoadedTarget)
{
    registry.update(engine("i-1"), 1);
    registry.update(engine("i-2"), 2);
    std::map<std::string, int> counts;
    for (int i = 0; i < 8; ++i)
        ++counts[acquiredId(draft)];
    EXPECT_EQ(counts["i-1"], 4);
    EXPECT_EQ(counts["i-2"], 4);
}

// A target that cuts connections must not attract requests by being idle.
TEST_F(TargetRegistryTest, FailedTargetIsAvoidedWhileOthersAreThere)
{
    registry.update(engine("i-1"), 1);
    registry.update(engine("i-2"), 2);
    registry.release({ "i-1", "", "drafting" }, draft, TargetVerdict::Failed, now);
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(acquiredId(draft), "i-2");
    registry.remove("i-2", 3);
    EXPECT_EQ(acquiredId(draft), "i-1");
}

// An engine refuses requests for a model that it is about to unload, while its entry still names the model.
TEST_F(TargetRegistryTest, RefusalForAModelPausesThatModelOnly)
{
    registry.update(engine("i-1", { { "draft", {} }, { "summary", {} } }), 1);
    registry.release({ "i-1", "", "drafting" }, draft, TargetVerdict::Full, now);
    EXPECT_EQ(acquiredId(draft), "model_absent");
    EXPECT_EQ(acquiredId({ "drafting", "summary", {}, {} }), "i-1");
    EXPECT_EQ(acquiredId(draft, now + std::chrono::seconds(1)), "i-1");
}

TEST_F(TargetRegistryTest, ReleaseEndsTheCount)
{
    registry.update(engine("i-1"), 1);
    const auto target = std::get<AcquiredTarget>(acquire(draft));
    EXPECT_EQ(registry.loads().at("i-1").inFlight, 1U);
    registry.release(target, draft, TargetVerdict::Good, now);
    EXPECT_EQ(registry.loads().at("i-1").inFlight, 0U);
}

// Each node sees a part of the requests only; what the others have in flight counts until it is out of date.
TEST_F(TargetRegistryTest, CountsWhatOtherNodesHaveInFlight)
{
    registry.update(engine("i-1"), 1);
    registry.update(engine("i-2"), 2);
    registry.noteRemote("node-2", { { "i-1", { 6, 0 } } }, now);
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(acquiredId(draft), "i-2");
    EXPECT_EQ(acquiredId(draft, now + std::chrono::seconds(3)), "i-1");
}

// The holder of the order lease takes room where few requests run, so it must know them by model, also when they end.
TEST_F(TargetRegistryTest, CountsRequestsByModel)
{
    registry.update(engine("i-1", { { "draft", {} }, { "summary", {} } }), 1);
    const TargetQuery summary { "drafting", "summary", {}, {} };
    const auto target = std::get<AcquiredTarget>(acquire(draft));
    (void)acquire(summary);
    (void)acquire(summary);
    EXPECT_EQ(registry.modelRuns(), (ModelRuns { { "i-1", { { "draft", 1 }, { "summary", 2 } } } }));
    registry.release(target, draft, TargetVerdict::Good, now);
    EXPECT_EQ(registry.modelRuns(), (ModelRuns { { "i-1", { { "summary", 2 } } } }));
}

// A target that fails requests is asked for a report soon; one that works again is not.
TEST_F(TargetRegistryTest, FailedTargetIsSuspectUntilItWorks)
{
    registry.update(engine("i-1"), 1);
    registry.release(std::get<AcquiredTarget>(acquire(draft)), draft, TargetVerdict::Failed, now);
    EXPECT_EQ(registry.suspects(now), (std::set<std::string> { "i-1" }));
    registry.release(std::get<AcquiredTarget>(acquire(draft)), draft, TargetVerdict::Good, now);
    EXPECT_TRUE(registry.suspects(now).empty());
}

// Prompts that an engine reads one after the other hold up the events of all its streams.
TEST_F(TargetRegistryTest, PromptsWaitWhileAnEngineHasEnoughBeforeIt)
{
    registry.update(engine("i-1"), 1);
    TargetQuery query = draft;
    query.promptTokens = 1500;
    query.mayWait = true;
    auto first = std::get<AcquiredTarget>(acquire(query));
    EXPECT_EQ(acquiredId(query), "prompts_unread");
    registry.notePromptRead(first);
    EXPECT_EQ(first.unreadTokens, 0U);
    const auto second = std::get<AcquiredTarget>(acquire(query));
    EXPECT_EQ(acquiredId(query), "prompts_unread");
    // A request whose time is short does not wait.
    query.mayWait = false;
    EXPECT_EQ(acquiredId(query), "i-1");
    query.mayWait = true;
    registry.release(second, query, TargetVerdict::Good, now);
    registry.release(first, query, TargetVerdict::Good, now);
    EXPECT_EQ(registry.loads().at("i-1").unreadTokens, 1500U);
}

// A prompt that is longer than the limit is read alone; it must not wait for ever.
TEST_F(TargetRegistryTest, LongPromptGoesToAnEngineThatReadsNothing)
{
    registry.update(engine("i-1"), 1);
    registry.update(engine("i-2"), 2);
    registry.noteRemote("node-2", { { "i-1", { 1, 900 } } }, now);
    TargetQuery query = draft;
    query.promptTokens = 4000;
    query.mayWait = true;
    EXPECT_EQ(acquiredId(query), "i-2");
    EXPECT_EQ(acquiredId(query), "prompts_unread");
}

TEST(DemandCounter, CountsRequestsInProgressAndForgetsOldArrivals)
{
    DemandCounter demand;
    const ArtifactKey artifact { "drafting", "draft", {} };
    demand.countArrival(artifact, now);
    demand.countArrival(artifact, now);
    demand.countWaiting(artifact, 1);
    auto counted = demand.demand(now).at(artifact);
    EXPECT_EQ(counted.inProgress, 2U);
    EXPECT_EQ(counted.waiting, 1U);
    EXPECT_NEAR(counted.arrivalsPerSecond, 1.0, 1e-9);
    demand.countWaiting(artifact, -1);
    demand.countEnd(artifact);
    demand.countEnd(artifact);
    EXPECT_TRUE(demand.demand(now + std::chrono::minutes(1)).empty());
}

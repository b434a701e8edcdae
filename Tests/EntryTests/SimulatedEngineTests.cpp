#include "EntryNodeFixture.h"

#include <StandIns/SimulatedTarget.h>

using namespace cyclamenstair;

namespace {

/// Two engines with the timing of real ones, the first with the model m1, the second with m1 and m2.
class SimulatedEngineTest : public EntryNodeTest {
protected:
    SimulatedEngineTest()
    {
        EngineWorkload engine;
        engine.memoryTokens = 1000;
        engine.weightsMb = 230;
        engine.adapterSlots = 8;
        engine.stepTime = milliseconds(5);
        engine.stepTimePerRequest = milliseconds(1);
        engine.promptTokensPerMs = 5;
        engine.tokensPerEvent = 4;
        for (const auto* name : { "m1", "m2" })
            engine.models.push_back({ name, 70, milliseconds(100), milliseconds(20), 1, 0, {} });
        for (const auto& models : { std::set<std::string> { "m1" }, std::set<std::string> { "m1", "m2" } }) {
            engine.loadedModels = models;
            SimulatedTargetSettings settings;
            settings.id = "e-" + std::to_string(engines.size() + 1);
            settings.service = "drafting";
            settings.failureDomain = "domain-1";
            settings.workload = engine;
            engines.push_back(SimulatedTarget::create(settings).value());
        }
        publish();
    }

    /// Writes the engines' entries, as engines do again and again.
    void publish()
    {
        for (const auto& engine : engines) {
            if (const auto entry = engine->entry())
                store.put("servers/" + engine->id(), *entry);
        }
    }

    HttpResponse stream(const std::string& id, const std::string& model)
    {
        return request("/model/x", id, { { "Cyclamenstair-Model", model }, { "Cyclamenstair-Token-Count", "50,40" } });
    }

    static std::string events(int count)
    {
        std::string text;
        for (int event = 1; event <= count; ++event)
            text += "id: " + std::to_string(event) + "\ndata: token\n\n";
        return text;
    }

    std::vector<std::unique_ptr<SimulatedTarget>> engines;
};

} // namespace

// Guards against a simulated engine that nodes do not take for one: its entry, its report and its streams.
TEST_F(SimulatedEngineTest, StreamsAreServedThroughNode)
{
    const auto node = startNode();
    for (int i = 0; i < 20; ++i) {
        const auto id = "s-" + std::to_string(i);
        const auto response = stream(id, i % 2 == 0 ? "m1" : "m2");
        EXPECT_EQ(response.head.status, 200U) << id;
        EXPECT_EQ(response.body, events(10)) << id;
        EXPECT_EQ(engines[0]->runs()[id] + engines[1]->runs()[id], 1) << id;
    }
}

// Guards against a stream that the node cuts off, or joins with events twice, when an engine resets its connection
// within an event.
TEST_F(SimulatedEngineTest, ResetStreamsResumeAtTheOtherEngine)
{
    engines[0]->setFault(TargetFaultKind::ResetAnswers, 1);
    const auto node = startNode();
    for (int i = 0; i < 20; ++i) {
        const auto id = "s-" + std::to_string(i);
        const auto response = stream(id, "m1");
        EXPECT_EQ(response.head.status, 200U) << id;
        EXPECT_EQ(response.body, events(10)) << id;
    }
    EXPECT_FALSE(engines[0]->runs().empty());
}

// Guards against orders that a simulated engine refuses, or that exceed it, after it has restarted without its models.
TEST_F(SimulatedEngineTest, RestartedEnginesAreOrderedToLoadAgain)
{
    const auto node = startNode();
    ASSERT_EQ(stream("before", "m2").head.status, 200U);
    for (const auto& engine : engines)
        engine->restart(engine->id());
    publish();
    int number = 0;
    EXPECT_TRUE(eventually([&] {
        publish();
        return stream("after-" + std::to_string(++number), "m2").body == events(10);
    }));
    for (const auto& engine : engines)
        EXPECT_EQ(engine->excessiveOrderCount(), 0U);
    EXPECT_FALSE(engines[0]->orders().empty() && engines[1]->orders().empty());
}

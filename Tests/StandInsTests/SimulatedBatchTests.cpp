#include <StandIns/SimulatedBatch.h>

#include <gtest/gtest.h>

namespace cyclamenstair {
namespace {

    SimulatedTargetSettings engineSettings()
    {
        EngineWorkload engine;
        engine.memoryTokens = 10000;
        engine.stepTime = milliseconds(10);
        engine.stepTimePerRequest = milliseconds(2);
        engine.promptTokensPerMs = 2;
        engine.tokensPerEvent = 4;
        SimulatedTargetSettings settings;
        settings.workload = engine;
        return settings;
    }

    SimulatedRequest request(int64_t promptTokens, int64_t outputTokens)
    {
        SimulatedRequest request;
        request.promptTokens = promptTokens;
        request.outputTokens = outputTokens;
        return request;
    }

    /// Advances a batch from one time at which something happens to the next.
    class BatchRun {
    public:
        explicit BatchRun(const SimulatedTargetSettings& settings)
            : batch(settings, 1)
        {
        }

        /// Returns the times of the events of all requests, in milliseconds since the start.
        std::map<uint64_t, std::vector<int64_t>> eventTimes()
        {
            std::map<uint64_t, std::vector<int64_t>> times;
            for (std::optional<TimePoint> now = start; now; now = batch.nextTime()) {
                for (const auto& step :
                    batch.advance(*now, [&](uint64_t number) { return congested.contains(number); })) {
                    if (step.kind == SimulatedStepKind::Event)
                        times[step.request].push_back(toMilliseconds(*now - start));
                }
                if (*now - start > std::chrono::seconds(1))
                    break;
            }
            return times;
        }

        const TimePoint start { std::chrono::seconds(100) };
        SimulatedBatch batch;
        std::set<uint64_t> congested;
    };

    // Guards against events that come before the prompt is read, and against steps that ignore the other requests, the
    // model or a fault that slows the request down.
    TEST(SimulatedBatch, StepsDependOnPromptRequestsAndModel)
    {
        using Times = std::map<uint64_t, std::vector<int64_t>>;
        BatchRun alone(engineSettings());
        ASSERT_TRUE(alone.batch.add(1, request(100, 8), alone.start));
        EXPECT_EQ(alone.eventTimes(), (Times { { 1, { 62, 74 } } }));
        BatchRun together(engineSettings());
        ASSERT_TRUE(together.batch.add(1, request(0, 8), together.start));
        ASSERT_TRUE(together.batch.add(2, request(0, 12), together.start));
        EXPECT_EQ(together.eventTimes(), (Times { { 1, { 14, 28 } }, { 2, { 14, 28, 40 } } }));
        BatchRun large(engineSettings());
        auto slow = request(0, 8);
        slow.stepFactor = 2;
        ASSERT_TRUE(large.batch.add(1, slow, large.start));
        EXPECT_EQ(large.eventTimes(), (Times { { 1, { 24, 48 } } }));
        BatchRun slowed(engineSettings());
        auto faulty = request(100, 8);
        faulty.slowness = 4;
        ASSERT_TRUE(slowed.batch.add(1, faulty, slowed.start));
        EXPECT_EQ(slowed.eventTimes(), (Times { { 1, { 248, 296 } } }));
    }

    // Guards against events that are made for a caller that does not read, and against other streams that wait for it.
    TEST(SimulatedBatch, CongestedStreamPausesAlone)
    {
        BatchRun run(engineSettings());
        run.congested = { 1 };
        ASSERT_TRUE(run.batch.add(1, request(0, 8), run.start));
        ASSERT_TRUE(run.batch.add(2, request(0, 8), run.start));
        const auto times = run.eventTimes();
        EXPECT_FALSE(times.contains(1));
        EXPECT_EQ(times.at(2).size(), 2U);
        EXPECT_EQ(run.batch.runningCount(), 1U);
    }

    // Guards against an engine that is woken again and again while it has nothing to do.
    TEST(SimulatedBatch, IdleOrWaitingBatchIsNotWoken)
    {
        BatchRun run(engineSettings());
        EXPECT_FALSE(run.batch.nextTime());
        ASSERT_TRUE(run.batch.add(1, request(2000, 8), run.start));
        (void)run.batch.advance(run.start, [](uint64_t) { return false; });
        EXPECT_EQ(run.batch.nextTime(), run.start + std::chrono::seconds(1));
    }

} // namespace
} // namespace cyclamenstair

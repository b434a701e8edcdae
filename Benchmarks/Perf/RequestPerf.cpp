#include <Benchmarks/Perf/PerfSamples.h>

#include <Cyclamenstair/Codec/PeerMessageCodec.h>
#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Node/TargetDirectory.h>
#include <Cyclamenstair/Routing/Router.h>

#include <benchmark/benchmark.h>

namespace cyclamenstair::perf {

namespace {

    /// Selects a target as RequestExecutor does: looks up the artifact's candidates, then applies the policy.
    template <typename Policy> void routingChoice(benchmark::State& state)
    {
        TargetDirectory directory;
        for (int i = 0; i < state.range(0); ++i) {
            auto status = sampleTarget(i);
            status.artifacts = { "model-0" };
            directory.update(status);
        }
        TargetTable targets;
        StragglerDetector detector;
        Router router(Policy {}, targets, detector);
        Random random(1);
        RouteQuery query;
        query.pool = "drafting";
        query.work.tokens = 8;
        query.now = monotonicNow();
        for (auto _ : state) {
            const auto candidates = directory.candidates("model-0");
            benchmark::DoNotOptimize(router.pick(candidates, query, random));
        }
    }
    BENCHMARK(routingChoice<RoundRobinPolicy>)->Arg(2)->Arg(12)->Arg(64)->Arg(256);
    BENCHMARK(routingChoice<WeightedPolicy>)->Arg(2)->Arg(12)->Arg(64)->Arg(256);
    BENCHMARK(routingChoice<LeastInFlightPolicy>)->Arg(2)->Arg(12)->Arg(64)->Arg(256);

    /// Encodes and authenticates a frame that contains a plan of the given size.
    void frameWithCode(benchmark::State& state)
    {
        const PlanFetchResponseMessage message { 1, {}, std::string(static_cast<size_t>(state.range(0)), 'x'), 0, 0 };
        for (auto _ : state)
            benchmark::DoNotOptimize(hmacSha256("0123456789abcdef", encodePeerMessage(message)));
    }
    BENCHMARK(frameWithCode)->Arg(256)->Arg(4096)->Arg(65536)->Arg(524288);

} // namespace

} // namespace cyclamenstair::perf

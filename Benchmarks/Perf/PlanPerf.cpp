#include <Benchmarks/Perf/PerfSamples.h>

#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Placement/PoolAssignment.h>

#include <benchmark/benchmark.h>

namespace cyclamenstair::perf {

namespace {

    void planEncode(benchmark::State& state)
    {
        const auto plan = samplePlan(static_cast<int>(state.range(0)));
        size_t bytes = 0;
        for (auto _ : state)
            bytes = encodePlan(plan).size();
        state.counters["bytes"] = static_cast<double>(bytes);
    }
    BENCHMARK(planEncode)->Arg(26)->Arg(150)->Arg(500)->Arg(1500);

    void planDecode(benchmark::State& state)
    {
        const auto encoded = encodePlan(samplePlan(static_cast<int>(state.range(0))));
        for (auto _ : state)
            benchmark::DoNotOptimize(decodePlan(encoded));
    }
    BENCHMARK(planDecode)->Arg(26)->Arg(150)->Arg(500)->Arg(1500);

    /// Compares a token with the hash of each caller in turn, as a node does for a request.
    void verifyTokens(benchmark::State& state)
    {
        const auto hash = hashToken("another token");
        for (auto _ : state) {
            for (int64_t caller = 0; caller < state.range(0); ++caller)
                benchmark::DoNotOptimize(verifyToken("token", hash));
        }
    }
    BENCHMARK(verifyTokens)->Arg(6)->Arg(50)->Arg(150);

    void ledgerEncode(benchmark::State& state)
    {
        const auto ledger = sampleLedger(static_cast<int>(state.range(0)));
        size_t bytes = 0;
        for (auto _ : state)
            bytes = encodeLedger(ledger).size();
        state.counters["bytes"] = static_cast<double>(bytes);
    }
    BENCHMARK(ledgerEncode)->Arg(4)->Arg(16)->Arg(64)->Arg(256);

    void ledgerDecode(benchmark::State& state)
    {
        const auto encoded = encodeLedger(sampleLedger(static_cast<int>(state.range(0))));
        for (auto _ : state)
            benchmark::DoNotOptimize(decodeLedger(encoded));
    }
    BENCHMARK(ledgerDecode)->Arg(4)->Arg(16)->Arg(64)->Arg(256);

    /// Arguments: targets, models. A pool has at most 64 targets; the larger case shows the cost of a pool that is not
    /// split.
    void placement(benchmark::State& state)
    {
        const auto plan = samplePlan(static_cast<int>(state.range(1)));
        std::vector<TargetLedger> ledgers(static_cast<size_t>(state.range(0)), sampleLedger(artifactsPerTarget));
        std::vector<PlacementTarget> targets;
        for (size_t i = 0; i < ledgers.size(); ++i)
            targets.push_back({ "engine-" + std::to_string(i), "domain-" + std::to_string(i % 4), 16384ULL << 20, false,
                &ledgers[i] });
        for (auto _ : state)
            benchmark::DoNotOptimize(assignArtifacts(plan, targets));
    }
    BENCHMARK(placement)
        ->Args({ 12, 26 })
        ->Args({ 24, 26 })
        ->Args({ 64, 26 })
        ->Args({ 64, 100 })
        ->Args({ 64, 200 })
        ->Args({ 863, 200 });

} // namespace

} // namespace cyclamenstair::perf

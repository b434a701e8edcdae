#include <Benchmarks/Perf/PerfSamples.h>

#include <Cyclamenstair/Node/TargetDirectory.h>

#include <benchmark/benchmark.h>

#include <memory>

namespace cyclamenstair::perf {

namespace {

    /// Number of objects per measurement, because resident memory grows only in whole pages.
    constexpr int copyCount = 20;

    /// Measures the resident bytes of the object that `make` returns.
    template <typename Make> void measureMemory(benchmark::State& state, Make&& make)
    {
        for (auto _ : state) {
            const double before = residentBytes();
            std::vector<decltype(make())> objects;
            for (int i = 0; i < copyCount; ++i)
                objects.push_back(make());
            state.counters["resident_bytes"] = (residentBytes() - before) / copyCount;
        }
    }

    void gossipTableMemory(benchmark::State& state)
    {
        measureMemory(state, [&] {
            auto table = std::make_unique<GossipTable>();
            fillGossipTable(*table, static_cast<int>(state.range(0)));
            return table;
        });
    }
    BENCHMARK(gossipTableMemory)->Arg(20)->Arg(260)->Arg(1040)->Arg(4160)->Iterations(1);

    void planMemory(benchmark::State& state)
    {
        measureMemory(state, [&] { return std::make_unique<Plan>(samplePlan(static_cast<int>(state.range(0)))); });
    }
    BENCHMARK(planMemory)->Arg(26)->Arg(150)->Arg(500)->Arg(1500)->Iterations(1);

    void targetDirectoryMemory(benchmark::State& state)
    {
        measureMemory(state, [&] {
            auto directory = std::make_unique<TargetDirectory>();
            for (int i = 0; i < state.range(0); ++i)
                directory->update(sampleTarget(i));
            return directory;
        });
    }
    BENCHMARK(targetDirectoryMemory)->Arg(16)->Arg(216)->Arg(863)->Arg(3452)->Iterations(1);

} // namespace

} // namespace cyclamenstair::perf

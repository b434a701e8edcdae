#include <Benchmarks/Perf/PerfSamples.h>

#include <Cyclamenstair/Codec/PeerMessageCodec.h>
#include <Cyclamenstair/Transport/PeerServer.h>

#include <benchmark/benchmark.h>

namespace cyclamenstair::perf {

namespace {

    const std::string fleetKey = "0123456789abcdef";

    /// Entries of the regions of today's and the two-year size lie within these points.
    void entryCounts(benchmark::internal::Benchmark* benchmark)
    {
        for (const int entries : { 20, 260, 1040, 4160 })
            benchmark->Arg(entries);
    }

    void gossipDigest(benchmark::State& state)
    {
        GossipTable table;
        fillGossipTable(table, static_cast<int>(state.range(0)));
        size_t bytes = 0;
        for (auto _ : state)
            bytes = encodePeerMessage(GossipRequestMessage { table.digest() }).size();
        state.counters["bytes"] = static_cast<double>(bytes);
    }
    BENCHMARK(gossipDigest)->Apply(entryCounts);

    /// The answering side when nothing differs.
    void gossipCompareEqual(benchmark::State& state)
    {
        GossipTable table;
        fillGossipTable(table, static_cast<int>(state.range(0)));
        const auto digest = encodePeerMessage(GossipRequestMessage { table.digest() });
        for (auto _ : state) {
            const auto message = decodePeerMessage(digest);
            benchmark::DoNotOptimize(table.compare(std::get<GossipRequestMessage>(message).digest));
        }
    }
    BENCHMARK(gossipCompareEqual)->Apply(entryCounts);

    /// Bytes of all entries, as a node receives them that has just started.
    void gossipFullResponse(benchmark::State& state)
    {
        GossipTable table;
        fillGossipTable(table, static_cast<int>(state.range(0)));
        size_t bytes = 0;
        for (auto _ : state) {
            auto difference = table.compare({});
            bytes = encodePeerMessage(GossipResponseMessage { std::move(difference.newer), {} }).size();
        }
        state.counters["bytes"] = static_cast<double>(bytes);
        state.counters["fits_in_frame"] = bytes <= FrameSocket::maxFrameBytes ? 1 : 0;
    }
    BENCHMARK(gossipFullResponse)->Apply(entryCounts);

    /// Bytes of the heartbeats of the given number of members, which are newer at one side of nearly every exchange.
    void gossipHeartbeats(benchmark::State& state)
    {
        GossipTable table;
        for (int i = 0; i < state.range(0); ++i)
            table.publish("member/node-" + std::to_string(i), 1, encodeMember(sampleMember(i)), monotonicNow());
        size_t bytes = 0;
        for (auto _ : state) {
            auto difference = table.compare({});
            bytes = encodePeerMessage(GossipResponseMessage { std::move(difference.newer), {} }).size();
        }
        state.counters["bytes"] = static_cast<double>(bytes);
    }
    BENCHMARK(gossipHeartbeats)->Arg(7)->Arg(44)->Arg(175)->Arg(1400);

    /// One exchange of equal tables over a new connection on loopback: processor time of both sides together.
    void gossipExchange(benchmark::State& state)
    {
        GossipTable table;
        fillGossipTable(table, static_cast<int>(state.range(0)));
        PeerServerSettings settings;
        settings.node = "server";
        settings.fleetKey = fleetKey;
        const auto server
            = PeerServer::create(settings, [&](const PeerMessage& request, const std::string&) -> PeerMessage {
                  const auto* message = std::get_if<GossipRequestMessage>(&request);
                  if (!message)
                      return PlanFetchResponseMessage { 1, "" };
                  auto difference = table.compare(message->digest);
                  return GossipResponseMessage { std::move(difference.newer), std::move(difference.wanted) };
              }).value();
        const auto address = "127.0.0.1:" + std::to_string(server->port());
        for (auto _ : state) {
            auto socket = FrameSocket::connect(address, "client", fleetKey, milliseconds(1000));
            socket.value().send(GossipRequestMessage { table.digest() });
            benchmark::DoNotOptimize(socket.value().receive());
            socket.value().send(PlanFetchRequestMessage { 1 });
            benchmark::DoNotOptimize(socket.value().receive());
        }
    }
    BENCHMARK(gossipExchange)->Apply(entryCounts)->MeasureProcessCPUTime()->UseRealTime();

} // namespace

} // namespace cyclamenstair::perf

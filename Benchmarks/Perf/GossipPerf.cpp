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

    GossipRequestMessage requestOf(const GossipTable& table)
    {
        const auto now = monotonicNow();
        return { 1, table.bucketHashes(now),
            table.recentHeartbeats(GossipTable::heartbeatWindow, GossipTable::maxHeartbeatsInRequest, now) };
    }

    /// The answering side: rows of the buckets that differ.
    GossipResponseMessage answer(const GossipTable& table, const GossipRequestMessage& request)
    {
        const auto now = monotonicNow();
        auto buckets = table.differingBuckets(request.bucketHashes, now);
        auto rows = table.rows(buckets, now);
        return { 1, std::move(buckets), std::move(rows),
            table.recentHeartbeats(
                GossipTable::heartbeatWindow, GossipTable::maxHeartbeatsInResponse, now, request.heartbeats) };
    }

    /// First message of an exchange: hashes of all buckets and fresh heartbeats.
    void gossipRequest(benchmark::State& state)
    {
        GossipTable table;
        fillGossipTable(table, static_cast<int>(state.range(0)));
        size_t bytes = 0;
        for (auto _ : state)
            bytes = encodePeerMessage(requestOf(table)).size();
        state.counters["bytes"] = static_cast<double>(bytes);
    }
    BENCHMARK(gossipRequest)->Apply(entryCounts);

    /// The answer when nothing differs.
    void gossipAnswerEqual(benchmark::State& state)
    {
        GossipTable table;
        fillGossipTable(table, static_cast<int>(state.range(0)));
        const auto request = encodePeerMessage(requestOf(table));
        size_t bytes = 0;
        for (auto _ : state) {
            const auto message = decodePeerMessage(request);
            bytes = encodePeerMessage(answer(table, std::get<GossipRequestMessage>(message))).size();
        }
        state.counters["bytes"] = static_cast<double>(bytes);
    }
    BENCHMARK(gossipAnswerEqual)->Apply(entryCounts);

    /// The answer when one entry differs: versions of the entries in its bucket.
    void gossipAnswerOneDiffers(benchmark::State& state)
    {
        GossipTable table;
        fillGossipTable(table, static_cast<int>(state.range(0)));
        const auto request = requestOf(table);
        table.publish("target/changed", 2, "status", monotonicNow());
        size_t bytes = 0;
        for (auto _ : state)
            bytes = encodePeerMessage(answer(table, request)).size();
        state.counters["bytes"] = static_cast<double>(bytes);
    }
    BENCHMARK(gossipAnswerOneDiffers)->Apply(entryCounts);

    /// Bytes of all entries that fit one message, as a node receives them that has just started.
    void gossipFirstEntries(benchmark::State& state)
    {
        GossipTable table;
        fillGossipTable(table, static_cast<int>(state.range(0)));
        const GossipTable empty;
        size_t bytes = 0;
        size_t entries = 0;
        for (auto _ : state) {
            const auto now = monotonicNow();
            const auto buckets = empty.differingBuckets(table.bucketHashes(now), now);
            auto difference = table.compare(buckets, {}, now);
            entries = difference.newer.size();
            bytes = encodePeerMessage(GossipPushMessage { std::move(difference.newer), {} }).size();
        }
        state.counters["bytes"] = static_cast<double>(bytes);
        state.counters["entries"] = static_cast<double>(entries);
    }
    BENCHMARK(gossipFirstEntries)->Apply(entryCounts);

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
                  return answer(table, std::get<GossipRequestMessage>(request));
              }).value();
        const auto address = "127.0.0.1:" + std::to_string(server->port());
        for (auto _ : state) {
            auto socket = FrameSocket::connect(address, "client", fleetKey, milliseconds(1000));
            socket.value().send(requestOf(table));
            benchmark::DoNotOptimize(socket.value().receive());
        }
    }
    BENCHMARK(gossipExchange)->Apply(entryCounts)->MeasureProcessCPUTime()->UseRealTime();

} // namespace

} // namespace cyclamenstair::perf

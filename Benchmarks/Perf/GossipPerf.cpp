#include <Benchmarks/Perf/PerfSamples.h>

#include <Cyclamenstair/Codec/PeerMessageCodec.h>
#include <Cyclamenstair/Transport/PeerServer.h>

#include <benchmark/benchmark.h>

namespace cyclamenstair::perf {

namespace {

    const std::string fleetKey = "0123456789abcdef";

    /// Covers the entry counts of current regions and of those expected in two years.
    void entryCounts(benchmark::internal::Benchmark* benchmark)
    {
        for (const int entries : { 20, 260, 1040, 4160 })
            benchmark->Arg(entries);
    }

    GossipRequestMessage makeRequest(const GossipTable& table)
    {
        const auto now = monotonicNow();
        return { 1, table.bucketHashes(now),
            table.recentHeartbeats(GossipTable::heartbeatWindow, GossipTable::maxHeartbeatsInRequest, now) };
    }

    /// Returns the response of the receiving node: rows of the buckets that differ.
    GossipResponseMessage makeResponse(const GossipTable& table, const GossipRequestMessage& request)
    {
        const auto now = monotonicNow();
        auto buckets = table.differingBuckets(request.bucketHashes, now);
        auto rows = table.rows(buckets, now);
        return { 1, std::move(buckets), std::move(rows),
            table.recentHeartbeats(
                GossipTable::heartbeatWindow, GossipTable::maxHeartbeatsInResponse, now, request.heartbeats) };
    }

    /// Request of an exchange: hashes of all buckets and recent heartbeats.
    void gossipRequest(benchmark::State& state)
    {
        GossipTable table;
        fillGossipTable(table, static_cast<int>(state.range(0)));
        size_t bytes = 0;
        for (auto _ : state)
            bytes = encodePeerMessage(makeRequest(table)).size();
        state.counters["bytes"] = static_cast<double>(bytes);
    }
    BENCHMARK(gossipRequest)->Apply(entryCounts);

    /// Response if all entries are equal.
    void gossipAnswerEqual(benchmark::State& state)
    {
        GossipTable table;
        fillGossipTable(table, static_cast<int>(state.range(0)));
        const auto request = encodePeerMessage(makeRequest(table));
        size_t bytes = 0;
        for (auto _ : state) {
            const auto message = decodePeerMessage(request);
            bytes = encodePeerMessage(makeResponse(table, std::get<GossipRequestMessage>(message))).size();
        }
        state.counters["bytes"] = static_cast<double>(bytes);
    }
    BENCHMARK(gossipAnswerEqual)->Apply(entryCounts);

    /// Response if one entry differs: versions of the entries in its bucket.
    void gossipAnswerOneDiffers(benchmark::State& state)
    {
        GossipTable table;
        fillGossipTable(table, static_cast<int>(state.range(0)));
        const auto request = makeRequest(table);
        table.publish("target/changed", 2, "status", monotonicNow());
        size_t bytes = 0;
        for (auto _ : state)
            bytes = encodePeerMessage(makeResponse(table, request)).size();
        state.counters["bytes"] = static_cast<double>(bytes);
    }
    BENCHMARK(gossipAnswerOneDiffers)->Apply(entryCounts);

    /// Size of the first push to a node that has just started: all entries that fit into one message.
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

    /// One exchange between equal tables over a new loopback connection: total processor time of both sides.
    void gossipExchange(benchmark::State& state)
    {
        GossipTable table;
        fillGossipTable(table, static_cast<int>(state.range(0)));
        PeerServerSettings settings;
        settings.node = "server";
        settings.fleetKey = fleetKey;
        const auto server
            = PeerServer::create(settings, [&](const PeerMessage& request, const std::string&) -> PeerMessage {
                  return makeResponse(table, std::get<GossipRequestMessage>(request));
              }).value();
        const auto address = "127.0.0.1:" + std::to_string(server->port());
        for (auto _ : state) {
            auto socket = FrameSocket::connect(address, "client", fleetKey, milliseconds(1000));
            socket.value().send(makeRequest(table));
            benchmark::DoNotOptimize(socket.value().receive());
        }
    }
    BENCHMARK(gossipExchange)->Apply(entryCounts)->MeasureProcessCPUTime()->UseRealTime();

} // namespace

} // namespace cyclamenstair::perf

#pragma once

#include <Cyclamenstair/Entry/EntryNode.h>
#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Settings/SettingsReader.h>

#include <StandIns/LoopbackPort.h>
#include <StandIns/RegisteredTargetStandIn.h>
#include <StandIns/RegistryStoreStandIn.h>

#include <gtest/gtest.h>

#include <future>

namespace cyclamenstair {

inline constexpr auto waitTimeout = std::chrono::seconds(20);

/// Body of a whole stream of RegisteredTargetStandIn.
inline const std::string completeStream
    = "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\nid: 4\ndata: token\n\n"
      "id: 5\ndata: token\n\n";

inline std::string catalogText(
    int version, const std::string& plainService = "plain", const std::string& loadsPerSecond = "4")
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
      {"name":"safe","host":"h","path_prefix":"/safe/","kind":"safe","timeout_ms":3000,"target_latency_ms":2000,"service":")"
        + plainService + R"(","max_attempts":2},
      {"name":"once","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":2000,"service":"plain","max_attempts":1},
      {"name":"stream","host":"h","path_prefix":"/stream/","kind":"streaming","timeout_ms":5000,"target_latency_ms":2000,"service":"plain","max_attempts":2,"resumable":true,"gap_target_ms":300},
      {"name":"model","host":"h","path_prefix":"/model/","kind":"streaming","timeout_ms":9000,"target_latency_ms":9000,"service":"drafting","max_attempts":2,"resumable":true,"gap_target_ms":300}],
     "services":[{"name":"plain","max_conns":100},{"name":"drafting","max_conns":100,"engine":{"slots":8,"kv_capacity":1000,
       "weights_mb":230,"adapter_slots":8,"loads_per_s":)"
        + loadsPerSecond + R"(,
       "models":[{"name":"m1","weights_mb":70,"load_s":0.1},{"name":"m2","weights_mb":70,"load_s":0.1}]}}],
     "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

/// Stand-in store with a catalog and two plain targets, and nodes that use them.
class EntryNodeTest : public testing::Test {
protected:
    EntryNodeTest()
    {
        store.put("op/config", catalogText(1));
        registerTarget(firstTarget);
        registerTarget(secondTarget);
    }

    void registerTarget(RegisteredTargetStandIn& target, const std::string& phase = "ready")
    {
        store.put("servers/" + target.id(), target.entry(phase));
    }

    /// Starts a node and waits until its readiness probe succeeds.
    std::unique_ptr<EntryNode> startNode(
        const std::string& id = "node-1", const std::string& peerSettings = {}, int graceSeconds = 8)
    {
        auto settings = SettingsReader::create("[node]\nmode = Registered\nid = " + id
            + "\n[entry]\nlisten = " + (callerAddress = allocateLoopbackAddress())
            + "\nready_listen = " + (probeAddress = allocateLoopbackAddress()) + "\nmetrics_listen = "
            + (metricsAddress = allocateLoopbackAddress()) + "\ngrace_s = " + std::to_string(graceSeconds) + "\n"
            + peerSettings + "[control]\nstore = " + storeAddress + "\norder_gap_ms = 200\n");
        auto node = EntryNode::create(settings.value());
        EXPECT_TRUE(node) << node.error().describe();
        EXPECT_TRUE(eventually([&] { return probe() == 200; }));
        return std::move(node).value();
    }

    static bool eventually(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + waitTimeout;
        while (std::chrono::steady_clock::now() < end) {
            if (condition())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    uint32_t probe() { return get(probeAddress, "/cyclamenstair/readiness").head.status; }

    HttpResponse get(const std::string& address, const std::string& path, HeaderFields fields = {})
    {
        fields.insert(fields.begin(), { "Host", "h" });
        return send(address, { "GET", path, std::move(fields), {}, false });
    }

    HttpResponse request(const std::string& path, const std::string& id, HeaderFields fields = {})
    {
        fields.insert(fields.begin(), { "Host", "h" });
        fields.emplace_back("Cyclamenstair-Request-Id", id);
        return send(callerAddress, { "POST", path, std::move(fields), "body", true });
    }

    /// Returns the response, or status 0 if there was none or it was truncated.
    HttpResponse send(const std::string& address, HttpRequest httpRequest)
    {
        std::promise<HttpResponse> response;
        loop.post([&] {
            client.call(
                parseEndpoint(address).value(), httpRequest, std::chrono::seconds(10), [&](HttpOutcome outcome) {
                    auto* complete = std::get_if<HttpResponse>(&outcome);
                    response.set_value(complete ? std::move(*complete) : HttpResponse {});
                });
        });
        return response.get_future().get();
    }

    /// Returns how often both targets ran the request.
    int runCount(const std::string& id)
    {
        int count = 0;
        for (auto* target : { &firstTarget, &secondTarget }) {
            const auto runs = target->runs();
            const auto entry = runs.find(id);
            count += entry == runs.end() ? 0 : entry->second;
        }
        return count;
    }

    RegistryStoreStandIn store;
    std::string storeAddress { store.address() }; ///< Of the next node.
    RegisteredTargetStandIn firstTarget { "i-1", "plain" };
    RegisteredTargetStandIn secondTarget { "i-2", "plain" };
    std::string callerAddress;
    std::string probeAddress;
    std::string metricsAddress;
    EventLoop loop;
    HttpClient client { loop.context(), ClientConnectionSettings {} };

    void SetUp() override { loop.start(); }

private:
    void TearDown() override { loop.stop(); }
};

} // namespace cyclamenstair

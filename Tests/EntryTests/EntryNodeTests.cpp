#include <Cyclamenstair/Control/LoadRateLimiter.h>
#include <Cyclamenstair/Entry/EntryNode.h>
#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Settings/SettingsReader.h>

#include <StandIns/LoopbackPort.h>
#include <StandIns/RegisteredTargetStandIn.h>
#include <StandIns/RegistryStoreStandIn.h>

#include <gtest/gtest.h>

#include <future>

using namespace cyclamenstair;

namespace {

constexpr auto patience = std::chrono::seconds(20);

std::string catalogText(int version, const std::string& plainService = "plain", const std::string& loadsPerSecond = "4")
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

/// A store with a catalog, two plain targets, and nodes.
class EntryNodeTest : public testing::Test {
protected:
    EntryNodeTest()
    {
        store.put("op/config", catalogText(1));
        registerTarget(first);
        registerTarget(second);
    }

    void registerTarget(RegisteredTargetStandIn& target, const std::string& phase = "ready")
    {
        store.put("servers/" + target.id(), target.entry(phase));
    }

    /// Starts a node and waits until it is ready.
    std::unique_ptr<EntryNode> startNode(const std::string& id = "node-1", const std::string& peers = {})
    {
        auto settings = SettingsReader::create("[node]\nmode = Registered\nid = " + id + "\n[entry]\nlisten = "
            + (front = freeLoopbackAddress()) + "\nready_listen = " + (ready = freeLoopbackAddress())
            + "\nmetrics_listen = " + (metrics = freeLoopbackAddress()) + "\ngrace_s = 8\n" + peers
            + "[control]\nstore = " + store.address() + "\norder_gap_ms = 200\n");
        auto node = EntryNode::create(settings.value());
        EXPECT_TRUE(node) << node.error().describe();
        EXPECT_TRUE(eventually([&] { return probe() == 200; }));
        return std::move(node).value();
    }

    static bool eventually(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (std::chrono::steady_clock::now() < end) {
            if (condition())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    uint32_t probe() { return get(ready, "/cyclamenstair/readiness").head.status; }

    HttpAnswer get(const std::string& address, const std::string& path, HeaderFields fields = {})
    {
        fields.insert(fields.begin(), { "Host", "h" });
        return send(address, { "GET", path, std::move(fields), {}, false });
    }

    HttpAnswer request(const std::string& path, const std::string& id, HeaderFields fields = {})
    {
        fields.insert(fields.begin(), { "Host", "h" });
        fields.emplace_back("Cyclamenstair-Request-Id", id);
        return send(front, { "POST", path, std::move(fields), "body", true });
    }

    /// Returns the answer; status 0 if it broke off or none came.
    HttpAnswer send(const std::string& address, HttpRequest message)
    {
        std::promise<HttpAnswer> answer;
        loop.post([&] {
            caller.call(parseEndpoint(address).value(), message, std::chrono::seconds(10), [&](HttpOutcome outcome) {
                auto* whole = std::get_if<HttpAnswer>(&outcome);
                answer.set_value(whole ? std::move(*whole) : HttpAnswer {});
            });
        });
        return answer.get_future().get();
    }

    int runsOf(const std::string& id)
    {
        int count = 0;
        for (auto* target : { &first, &second }) {
            const auto runs = target->runs();
            const auto found = runs.find(id);
            count += found == runs.end() ? 0 : found->second;
        }
        return count;
    }

    RegistryStoreStandIn store;
    RegisteredTargetStandIn first { "i-1", "plain" };
    RegisteredTargetStandIn second { "i-2", "plain" };
    std::string front;
    std::string ready;
    std::string metrics;
    EventLoop loop;
    HttpCaller caller { loop.context(), ClientConnectionSettings {} };

private:
    void SetUp() override { loop.start(); }
    void TearDown() override { loop.stop(); }
};

const std::string wholeStream
    = "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\nid: 4\ndata: token\n\n"
      "id: 5\ndata: token\n\n";

} // namespace

TEST_F(EntryNodeTest, ServesEachKindOfRequest)
{
    const auto node = startNode();
    const auto safe = request("/safe/x", "r-1");
    EXPECT_EQ(safe.head.status, 200U);
    EXPECT_TRUE(safe.body.ends_with(":body"));
    EXPECT_TRUE(fieldValue(safe.head.fields, "Cyclamenstair-Response-Stamp"));
    EXPECT_EQ(request("/once/x", "r-2").head.status, 200U);
    EXPECT_EQ(request("/stream/x", "r-3").body, wholeStream);
    EXPECT_EQ(request("/unknown/x", "r-4").head.status, 404U);
    EXPECT_NE(get(metrics, "/metrics").body.find("cyclamenstair_requests_total"), std::string::npos);
}

// Without a catalog a node cannot tell a wrong request from a right one, and must not ask for callers.
TEST_F(EntryNodeTest, IsNotReadyWithoutACatalog)
{
    store.remove("op/config");
    auto settings
        = SettingsReader::create("[node]\nmode = Registered\n[entry]\nlisten = " + (front = freeLoopbackAddress())
            + "\nready_listen = " + (ready = freeLoopbackAddress()) + "\n[control]\nstore = " + store.address() + "\n");
    const auto node = EntryNode::create(settings.value()).value();
    EXPECT_EQ(probe(), 503U);
    EXPECT_EQ(request("/safe/x", "r-1").head.status, 503U);
    store.put("op/config", catalogText(1));
    EXPECT_TRUE(eventually([&] { return probe() == 200; }));
}

// Safe work is repeated when a target breaks its answer off; work that runs once is not, and is not called "not run".
TEST_F(EntryNodeTest, RepeatsOnlyWhatMayRunTwice)
{
    const auto node = startNode();
    first.setBehaviour(TargetBehaviour::Cut);
    for (int i = 0; i < 6; ++i) {
        const auto id = "safe-" + std::to_string(i);
        EXPECT_EQ(request("/safe/x", id).head.status, 200U);
        EXPECT_LE(runsOf(id), 2);
    }
    second.setBehaviour(TargetBehaviour::Cut);
    for (int i = 0; i < 4; ++i) {
        const auto id = "once-" + std::to_string(i);
        EXPECT_EQ(request("/once/x", id).head.status, 502U);
        EXPECT_EQ(runsOf(id), 1);
    }
}

// The log must show why a target's answer was not passed on.
TEST_F(EntryNodeTest, RefusedWorkIsAnsweredAsNotRun)
{
    testing::internal::CaptureStdout();
    const auto node = startNode();
    first.setBehaviour(TargetBehaviour::Refuse);
    second.setBehaviour(TargetBehaviour::Refuse);
    const auto answer = request("/once/x", "r-1");
    EXPECT_EQ(answer.head.status, 503U);
    EXPECT_TRUE(fieldValue(answer.head.fields, "Retry-After"));
    EXPECT_EQ(runsOf("r-1"), 0);
    const auto log = testing::internal::GetCapturedStdout();
    EXPECT_NE(log.find("event=attempt_answered request=r-1"), std::string::npos);
    EXPECT_NE(log.find("status=503 not_run=true"), std::string::npos);
}

// An answer that belongs to another request must not reach the caller.
TEST_F(EntryNodeTest, ForeignAnswerIsNotPassedOn)
{
    const auto node = startNode();
    first.setBehaviour(TargetBehaviour::Foreign);
    second.setBehaviour(TargetBehaviour::Foreign);
    EXPECT_EQ(request("/once/x", "r-1").head.status, 502U);
}

TEST_F(EntryNodeTest, BrokenStreamGoesOnWithoutAGap)
{
    testing::internal::CaptureStdout();
    const auto node = startNode();
    first.setBehaviour(TargetBehaviour::Cut);
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(request("/stream/x", "s-" + std::to_string(i)).body, wholeStream);
    // The log tells how late the answer was, and why.
    const auto log = testing::internal::GetCapturedStdout();
    EXPECT_NE(log.find("event=answered request=s-3"), std::string::npos);
    EXPECT_NE(log.find("first_byte_ms="), std::string::npos);
    EXPECT_NE(log.find("longest_pause_ms="), std::string::npos);
}

// A stream that cannot go on ends visibly incomplete.
TEST_F(EntryNodeTest, StreamThatCannotGoOnIsBrokenOff)
{
    const auto node = startNode();
    first.setBehaviour(TargetBehaviour::Cut);
    second.setBehaviour(TargetBehaviour::Cut);
    EXPECT_EQ(request("/stream/x", "s-1").head.status, 0U);
}

TEST_F(EntryNodeTest, LeavingTargetsGetNoNewWork)
{
    const auto node = startNode();
    registerTarget(first, "draining");
    // While both targets are in use, each gets a request with equal chance, so 20 in a row show that the entry was
    // seen.
    constexpr int probes = 20;
    int sent = 0;
    EXPECT_TRUE(eventually([&] {
        for (int i = 0; i < probes; ++i) {
            if (!request("/safe/x", "probe-" + std::to_string(++sent)).body.starts_with("i-2"))
                return false;
        }
        return true;
    }));
    const auto before = first.runs().size();
    for (int i = 0; i < 10; ++i)
        EXPECT_TRUE(request("/safe/x", "r-" + std::to_string(i)).body.starts_with("i-2"));
    EXPECT_EQ(first.runs().size(), before);
    store.remove("servers/i-2");
    EXPECT_TRUE(eventually([&] { return request("/safe/x", "late").head.status == 503; }));
}

// A newer catalog is in force soon; a node never goes back, also if an older one is written later.
TEST_F(EntryNodeTest, CatalogOnlyMovesForward)
{
    const auto node = startNode();
    RegisteredTargetStandIn other { "i-9", "other" };
    registerTarget(other);
    store.put("op/config", catalogText(5, "other"));
    EXPECT_TRUE(eventually([&] { return request("/safe/x", "p").body.starts_with("i-9"); }));
    store.put("op/config", catalogText(4));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(request("/safe/x", "r-" + std::to_string(i)).body.starts_with("i-9"));
}

// The work of a caller that has left is ended at its target.
TEST_F(EntryNodeTest, EndsTheWorkOfACallerThatLeaves)
{
    const auto node = startNode();
    first.setBehaviour(TargetBehaviour::Silent);
    second.setBehaviour(TargetBehaviour::Silent);
    std::promise<void> done;
    loop.post([&] {
        caller.call(parseEndpoint(front).value(),
            { "POST", "/safe/x", { { "Host", "h" }, { "Cyclamenstair-Request-Id", "r-1" } }, "body", true },
            milliseconds(200), [&](const HttpOutcome&) { done.set_value(); });
    });
    done.get_future().wait();
    EXPECT_TRUE(eventually([&] { return first.abandoned() + second.abandoned() == 1; }));
}

TEST_F(EntryNodeTest, ServesWhileTheStoreIsDown)
{
    const auto node = startNode();
    store.setDown(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(request("/safe/x", "r-" + std::to_string(i)).head.status, 200U);
    EXPECT_EQ(probe(), 200U);
    store.setDown(false);
    registerTarget(first, "draining");
    EXPECT_TRUE(eventually([&] { return request("/safe/x", "s").body.starts_with("i-2"); }));
}

// All processes may be killed while the store is away; a node that starts then serves with what a peer has read.
TEST_F(EntryNodeTest, StartsFromAPeerWhileTheStoreIsDown)
{
    const auto peer = freeLoopbackAddress();
    const auto known = startNode("node-1", "peer_listen = " + peer + "\n");
    store.setDown(true);
    const auto started = startNode("node-2", "peer_listen = " + freeLoopbackAddress() + "\nseeds = " + peer + "\n");
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(request("/safe/x", "r-" + std::to_string(i)).head.status, 200U);
}

// Nodes that were all killed serve again from the store alone, at new addresses.
TEST_F(EntryNodeTest, ServesAgainAfterAllNodesWereKilled)
{
    std::vector<std::unique_ptr<EntryNode>> nodes;
    for (const auto* id : { "node-1", "node-2" })
        nodes.push_back(startNode(id));
    nodes.clear();
    for (const auto* id : { "node-1", "node-2" })
        nodes.push_back(startNode(id));
    EXPECT_EQ(request("/safe/x", "r-1").head.status, 200U);
    EXPECT_TRUE(eventually([&] { return store.value("control/holder").has_value(); }));
}

// A planned stop turns the probe, and cuts off no request in progress.
TEST_F(EntryNodeTest, PlannedStopLetsRequestsEnd)
{
    auto node = startNode();
    auto stopped = std::async(std::launch::async, [&] { node->stop(); });
    EXPECT_TRUE(eventually([&] { return probe() == 503; }));
    EXPECT_EQ(request("/safe/x", "during").head.status, 200U);
    stopped.wait();
    EXPECT_EQ(request("/safe/x", "after").head.status, 503U);
    EXPECT_EQ(runsOf("after"), 0);
}

// Guards against a stopping node that turns away what it could still answer, and against one that begins what it would
// cut off. Callers keep coming where few nodes of their zone are ready.
TEST_F(EntryNodeTest, StoppingNodeBeginsWhatEndsInTime)
{
    auto node = startNode();
    auto stopped = std::async(std::launch::async, [&] { node->stop(); });
    EXPECT_TRUE(eventually([&] { return request("/stream/x", "long").head.status == 503U; }));
    EXPECT_EQ(request("/safe/x", "short").head.status, 200U);
    const auto refused = request("/stream/x", "late");
    EXPECT_EQ(refused.head.status, 503U);
    EXPECT_EQ(fieldValue(refused.head.fields, "Retry-After"), "0.000");
    EXPECT_NE(get(metrics, "/metrics").body.find("\"stopping\""), std::string::npos);
    EXPECT_EQ(runsOf("late"), 0);
    stopped.wait();
}

// Guards against orders that a target refused and that still use up the weight store's rate, here one load in 5 s, and
// against a caller that is asked back before the model can be there.
TEST_F(EntryNodeTest, RefusedLoadIsOrderedAgain)
{
    store.put("op/config", catalogText(1, "plain", "0.2"));
    RegisteredTargetStandIn engine { "i-7", "drafting", { "m1" } };
    engine.refuseOrders();
    registerTarget(engine);
    const auto node = startNode();
    auto answer = std::async(std::launch::async, [&] {
        return request("/model/stream", "missing", { { "Cyclamenstair-Model", "m2" } });
    });
    EXPECT_TRUE(eventually([&] { return engine.refusedOrders() >= 1; }));
    const auto first = std::chrono::steady_clock::now();
    EXPECT_TRUE(eventually([&] { return engine.refusedOrders() >= 2; }));
    EXPECT_LT(std::chrono::steady_clock::now() - first, LoadRateLimiter::window);
    const auto refused = answer.get();
    EXPECT_EQ(refused.head.status, 503U);
    // The decision and the load of 0.1 s.
    EXPECT_EQ(fieldValue(refused.head.fields, "Retry-After"), "1.600");
}

// While the store is away it tells nobody that a load is done; the other nodes must hear of it from the holder. The
// entry of this engine is written once and never names the second model.
TEST_F(EntryNodeTest, OtherNodesHearOfALoadFromTheHolder)
{
    const auto peer = freeLoopbackAddress();
    const auto holder = startNode("node-1", "peer_listen = " + peer + "\n");
    EXPECT_TRUE(eventually([&] { return store.value("control/holder") == "node-1"; }));
    const auto other = startNode("node-2", "peer_listen = " + freeLoopbackAddress() + "\nseeds = " + peer + "\n");
    RegisteredTargetStandIn engine { "i-7", "drafting", { "m1" } };
    registerTarget(engine);
    EXPECT_TRUE(eventually([&] { return engine.models().contains("m2"); }));
    int sent = 0;
    EXPECT_TRUE(eventually([&] {
        const auto id = "m-" + std::to_string(++sent);
        return request("/model/stream", id, { { "Cyclamenstair-Model", "m2" } }).head.status == 200;
    }));
}

// One node at a time orders loads, with a fencing number that grows when another takes over.
TEST_F(EntryNodeTest, HolderLoadsMissingModelsAndIsReplaced)
{
    RegisteredTargetStandIn engine { "i-7", "drafting", { "m1" } };
    registerTarget(engine);
    auto node = startNode("node-1");
    EXPECT_TRUE(eventually([&] { return engine.models().contains("m2"); }));
    const auto firstOrder = engine.orders().front();
    EXPECT_EQ(firstOrder.first, "node-1");
    EXPECT_EQ(store.value("control/holder"), "node-1");
    const auto successor = startNode("node-2");
    node->stop();
    node.reset();
    EXPECT_TRUE(eventually([&] { return store.value("control/holder") == "node-2"; }));
    RegisteredTargetStandIn late { "i-8", "drafting" };
    registerTarget(late);
    store.remove("servers/i-7");
    EXPECT_TRUE(eventually([&] { return late.models().contains("m1"); }));
    EXPECT_EQ(late.orders().front().first, "node-2");
    EXPECT_GT(late.orders().front().second, firstOrder.second);
}

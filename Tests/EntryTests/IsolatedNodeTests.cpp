#include "EntryNodeFixture.h"

#include <Cyclamenstair/Codec/RelayCodec.h>

#include <StandIns/LinkStandIn.h>

using namespace cyclamenstair;

namespace {

constexpr auto recoveryTime = std::chrono::seconds(3); ///< After which callers of a node that was cut off are served.
constexpr auto healTime = std::chrono::seconds(2); ///< Within which requests go directly again.
constexpr auto callerTimeout = milliseconds(2500); ///< The time limit that callers state.

/// Three nodes and six targets. Some of the nodes reach the targets through links that can be cut.
class IsolatedNodeTest : public EntryNodeTest {
protected:
    IsolatedNodeTest()
    {
        for (auto* target : targets)
            registerTarget(*target);
    }

    /// Starts the nodes, the first `cutCount` of them behind links, and waits until they know each other.
    void startNodes(size_t cutCount)
    {
        links.resize(cutCount);
        const auto seed = allocateLoopbackAddress();
        for (size_t i = 0; i < nodeCount; ++i) {
            std::map<std::string, std::string> view;
            for (auto* target : targets) {
                if (i >= cutCount)
                    continue;
                const auto& link = links[i].emplace_back(std::make_unique<LinkStandIn>(target->address()));
                view[target->address()] = link->address();
            }
            storeAddress = store.addView(std::move(view));
            nodes.push_back(startNode("node-" + std::to_string(i + 1),
                "peer_listen = " + (i == 0 ? seed : allocateLoopbackAddress()) + "\nseeds = " + seed
                    + "\nrelay_listen = " + allocateLoopbackAddress() + "\n"));
            callerAddresses.push_back(callerAddress);
            metricsAddresses.push_back(metricsAddress);
        }
        selectNode(0);
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    }

    void selectNode(size_t index)
    {
        callerAddress = callerAddresses[index];
        metricsAddress = metricsAddresses[index];
    }

    void setLinks(size_t node, LinkMode mode)
    {
        for (const auto& link : links[node])
            link->setMode(mode);
    }

    /// Sends requests on kept connections until `end`.
    std::vector<std::future<void>> startCallers(
        const std::vector<std::string>& paths, std::chrono::steady_clock::time_point end)
    {
        std::vector<std::future<void>> callers;
        for (const auto& path : paths) {
            callers.push_back(std::async(std::launch::async, [this, path, end] {
                while (std::chrono::steady_clock::now() < end) {
                    const auto id = nextId();
                    (void)request(path, id, { { "Cyclamenstair-Deadline-Ms", "2500" } });
                    EXPECT_TRUE(path != "/once/x" || runCount(id) <= 1) << id;
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                }
            }));
        }
        return callers;
    }

    /// Cuts the first node off and waits for the time within which its callers must be served again. Callers send
    /// requests meanwhile.
    void cutAndWait(LinkMode mode)
    {
        setLinks(0, mode);
        const auto end = std::chrono::steady_clock::now() + recoveryTime;
        const auto callers = startCallers({ "/safe/x", "/once/x", "/stream/x" }, end);
        std::this_thread::sleep_until(end);
        expectServed(10);
        for (const auto& caller : callers)
            caller.wait();
    }

    /// Sends requests of each kind on kept and on new connections, and expects that all are served.
    void expectServed(int count)
    {
        for (int i = 0; i < count; ++i) {
            for (const auto* path : { "/safe/x", "/once/x", "/stream/x" }) {
                const auto id = nextId();
                HeaderFields fields { { "Cyclamenstair-Deadline-Ms", "2500" } };
                if (i % 2 == 0)
                    fields.emplace_back("Connection", "close");
                const auto response = request(path, id, fields);
                EXPECT_EQ(response.head.status, 200U) << path << " " << id;
                EXPECT_TRUE(std::string(path) != "/stream/x" || response.body == completeStream) << id;
                EXPECT_TRUE(std::string(path) != "/once/x" || runCount(id) == 1) << id;
                expectNoRelayFields(response.head.fields);
            }
        }
    }

    static void expectNoRelayFields(const HeaderFields& fields)
    {
        EXPECT_FALSE(fieldValue(fields, relayRequestField));
        EXPECT_FALSE(fieldValue(fields, relayResponseField));
    }

    static HeaderFields forgedFields()
    {
        return { { std::string(relayRequestField),
            encodeRelayRequest({ "node-9", 1000, 1, "unknown-version", "another-team", 9 }) } };
    }

    /// Returns how many requests the selected node has passed on.
    int sentRelays()
    {
        const std::string name = "cyclamenstair_relayed_requests_total{outcome=\"sent\"} ";
        const auto text = get(metricsAddress, "/metrics").body;
        const auto position = text.find(name);
        return position == std::string::npos ? 0 : std::stoi(text.substr(position + name.size()));
    }

    /// Returns whether ten requests in a row are served and none of them is passed on.
    bool servesDirectly()
    {
        const int before = sentRelays();
        for (int i = 0; i < 10; ++i) {
            if (request("/safe/x", nextId()).head.status != 200U)
                return false;
        }
        return sentRelays() == before;
    }

    void expectDirectAfterHeal()
    {
        setLinks(0, LinkMode::Pass);
        const auto end = std::chrono::steady_clock::now() + healTime;
        EXPECT_TRUE(eventually([&] { return servesDirectly(); }));
        EXPECT_LE(std::chrono::steady_clock::now(), end);
    }

    int runCount(const std::string& id)
    {
        int count = 0;
        for (auto* target : targets)
            count += target->runCount(id);
        return count;
    }

    int abandonedRequestCount() const
    {
        int count = 0;
        for (const auto* target : targets)
            count += target->abandonedRequestCount();
        return count;
    }

    std::string nextId() { return "r-" + std::to_string(++lastId); }

    static constexpr size_t nodeCount = 3;
    RegisteredTargetStandIn thirdTarget { "i-3", "plain" };
    RegisteredTargetStandIn fourthTarget { "i-4", "plain" };
    RegisteredTargetStandIn fifthTarget { "i-5", "plain" };
    RegisteredTargetStandIn sixthTarget { "i-6", "plain" };
    std::array<RegisteredTargetStandIn*, 6> targets { &firstTarget, &secondTarget, &thirdTarget, &fourthTarget,
        &fifthTarget, &sixthTarget };
    std::vector<std::vector<std::unique_ptr<LinkStandIn>>> links; ///< By node and target.
    std::vector<std::string> callerAddresses;
    std::vector<std::string> metricsAddresses;
    std::atomic<int> lastId { 0 };
    std::vector<std::unique_ptr<EntryNode>> nodes;
};

class CutModeTest : public IsolatedNodeTest, public testing::WithParamInterface<LinkMode> { };

INSTANTIATE_TEST_SUITE_P(Modes, CutModeTest, testing::Values(LinkMode::Hang, LinkMode::Reset, LinkMode::Refuse),
    [](const auto& info) { return std::string(nameOf(info.param)); });

} // namespace

// Guards against a node that fails its callers for as long as it reaches no target, and against one that passes
// requests on for longer.
TEST_P(CutModeTest, CallersOfAnIsolatedNodeAreServed)
{
    startNodes(1);
    expectServed(2);
    EXPECT_EQ(sentRelays(), 0);
    cutAndWait(GetParam());
    EXPECT_GT(sentRelays(), 0);
    for (auto* target : targets) {
        const auto fields = target->lastFields();
        expectNoRelayFields(fields);
        const auto timeLeft = std::stoi(fieldValue(fields, "Cyclamenstair-Deadline-Ms").value_or("0"));
        EXPECT_GT(timeLeft, 0);
        EXPECT_LE(timeLeft, toMilliseconds(callerTimeout));
    }
    expectDirectAfterHeal();
}

// Guards against streams that end, lose events or repeat them when their node loses its targets.
TEST_P(CutModeTest, StreamInProgressGoesOn)
{
    startNodes(1);
    expectServed(20);
    for (auto* target : targets)
        target->setBehaviour(TargetBehaviour::PacedStream);
    const auto callers = startCallers({ "/once/x", "/once/x" }, std::chrono::steady_clock::now() + recoveryTime);
    const auto id = nextId();
    auto stream = std::async(std::launch::async, [&] { return request("/stream/x", id); });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    // Its link is cut last, so that the stream cannot go on through one that is about to be cut.
    const auto running
        = std::find_if(targets.begin(), targets.end(), [&](auto* target) { return target->runCount(id) > 0; });
    ASSERT_NE(running, targets.end());
    std::swap(links[0].back(), links[0][static_cast<size_t>(running - targets.begin())]);
    setLinks(0, GetParam());
    const auto response = stream.get();
    EXPECT_EQ(response.head.status, 200U);
    EXPECT_EQ(response.body, completeStream);
    for (const auto& caller : callers)
        caller.wait();
}

// Guards against requests that wait beyond their time limit, run, or are answered other than "not run" while no node
// reaches a target.
TEST_P(CutModeTest, AllNodesIsolatedRefuse)
{
    startNodes(nodeCount);
    for (size_t node = nodeCount; node-- > 0;) {
        selectNode(node);
        expectServed(1);
    }
    for (size_t node = 1; node < nodeCount; ++node)
        setLinks(node, GetParam());
    setLinks(0, GetParam());
    const auto end = std::chrono::steady_clock::now() + recoveryTime;
    while (std::chrono::steady_clock::now() < end) {
        std::vector<std::future<HttpResponse>> responses;
        for (const auto& address : callerAddresses) {
            responses.push_back(std::async(std::launch::async, [this, address] {
                return send(address,
                    { "POST", "/safe/x",
                        { { "Host", "h" }, { "Cyclamenstair-Request-Id", nextId() },
                            { "Cyclamenstair-Deadline-Ms", "1000" } },
                        "body", true });
            }));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    for (const auto* path : { "/safe/x", "/once/x", "/stream/x" }) {
        const auto id = nextId();
        const auto sentAt = std::chrono::steady_clock::now();
        const auto response = request(path, id, { { "Cyclamenstair-Deadline-Ms", "2500" } });
        // Open connections go on if only new ones are refused.
        const bool isServed = GetParam() == LinkMode::Refuse && response.head.status == 200U;
        EXPECT_TRUE(isServed || response.head.status == 503U) << path << ", status " << response.head.status;
        EXPECT_LT(std::chrono::steady_clock::now() - sentAt, callerTimeout + milliseconds(500)) << path;
        EXPECT_EQ(runCount(id), isServed ? 1 : 0) << path;
    }
    for (size_t node = 0; node < nodeCount; ++node)
        setLinks(node, LinkMode::Pass);
    EXPECT_TRUE(eventually([&] { return servesDirectly(); }));
}

// Guards against runs that go on at a target after the caller of the node that passed the request on has left.
TEST_F(IsolatedNodeTest, CallerDisconnectEndsRelayedRun)
{
    startNodes(1);
    cutAndWait(LinkMode::Reset);
    for (auto* target : targets)
        target->setBehaviour(TargetBehaviour::NoResponse);
    const int before = abandonedRequestCount();
    const auto id = nextId();
    std::promise<void> left;
    loop.post([&] {
        client.call(parseEndpoint(callerAddress).value(),
            { "POST", "/once/x", { { "Host", "h" }, { "Cyclamenstair-Request-Id", id } }, "body", true },
            milliseconds(300), [&](const HttpOutcome&) { left.set_value(); });
    });
    left.get_future().wait();
    const auto leftAt = std::chrono::steady_clock::now();
    EXPECT_EQ(runCount(id), 1);
    EXPECT_TRUE(eventually([&] { return abandonedRequestCount() == before + 1; }));
    EXPECT_LT(std::chrono::steady_clock::now() - leftAt, std::chrono::milliseconds(500));
}

// Guards against callers that set what only nodes tell each other, here a software version that no target has.
TEST_F(IsolatedNodeTest, ForgedRelayFieldHasNoEffect)
{
    startNodes(1);
    const auto expectNoEffect = [&] {
        for (const auto* path : { "/safe/x", "/once/x", "/stream/x" }) {
            const auto response = request(path, nextId(), forgedFields());
            EXPECT_EQ(response.head.status, 200U) << path;
            expectNoRelayFields(response.head.fields);
        }
    };
    expectNoEffect();
    cutAndWait(LinkMode::Refuse);
    expectNoEffect();
}

// Guards against a forged field that reaches a target.
TEST_F(IsolatedNodeTest, ForgedRelayFieldStaysAtTheNode)
{
    startNodes(0);
    EXPECT_EQ(request("/safe/x", "forged", forgedFields()).head.status, 200U);
    for (auto* target : targets)
        expectNoRelayFields(target->lastFields());
}

// Guards against requests that fail because the node that they were passed on through stops, and against a second cut
// that is handled other than the first one.
TEST_F(IsolatedNodeTest, CutsInSeriesWhileARelayingNodeStops)
{
    startNodes(1);
    cutAndWait(LinkMode::Reset);
    auto stopped = std::async(std::launch::async, [&] { nodes[1]->stop(); });
    while (stopped.wait_for(std::chrono::milliseconds(20)) != std::future_status::ready)
        expectServed(1);
    expectServed(3);
    expectDirectAfterHeal();
    cutAndWait(LinkMode::Hang);
    expectDirectAfterHeal();
}

// Guards against a node that counts as isolated because some of its targets are gone.
TEST_F(IsolatedNodeTest, SomeLostTargetsIsolateNoNode)
{
    startNodes(1);
    const auto expectDirect = [&] {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        while (std::chrono::steady_clock::now() < end)
            (void)request("/safe/x", nextId());
        EXPECT_EQ(sentRelays(), 0);
        EXPECT_TRUE(servesDirectly());
    };
    for (const auto mode : { LinkMode::Reset, LinkMode::Hang }) {
        links[0][0]->setMode(mode);
        expectDirect();
    }
    links[0][1]->setMode(LinkMode::Reset);
    expectDirect();
}

// Guards against models that nobody loads because the holder of the order lease has lost its targets.
TEST_F(IsolatedNodeTest, HolderWithoutTargetsLeavesOrdersToAnotherNode)
{
    startNodes(nodeCount);
    const std::string holderKey = "control/holder";
    ASSERT_TRUE(eventually([&] { return store.value(holderKey).has_value(); }));
    const auto holder = store.value(holderKey).value();
    const size_t index = holder == "node-1" ? 0 : holder == "node-2" ? 1 : 2;
    selectNode(index);
    setLinks(index, LinkMode::Reset);
    const auto callers = startCallers({ "/safe/x" }, std::chrono::steady_clock::now() + recoveryTime);
    EXPECT_TRUE(eventually([&] { return store.value(holderKey).value_or(holder) != holder; }));
    for (const auto& caller : callers)
        caller.wait();
}

#include "EntryNodeFixture.h"

using namespace cyclamenstair;

namespace {

/// Catalog whose tenant "t" holds `keys`, as JSON strings separated by commas.
std::string teamCatalog(int version, const std::string& keys, const std::string& allotment = {})
{
    auto text = catalogText(version);
    const std::string publicRoute
        = R"("routes":[{"name":"open","host":"h","path_prefix":"/open/","kind":"safe","public":true,"timeout_ms":3000,
          "target_latency_ms":2000,"service":"plain","max_attempts":2},)";
    text.replace(text.find("\"routes\":["), std::string("\"routes\":[").size(), publicRoute);
    text.pop_back();
    return text + R"(,"tenants":[{"name":"t","api_keys":[)" + keys + "]" + allotment
        + R"(},{"name":"u","api_keys":["k9"]}]})";
}

HeaderFields withKey(const std::string& key) { return { { "Authorization", "Bearer " + key } }; }

class TeamRequestTest : public EntryNodeTest {
protected:
    TeamRequestTest() { store.put("op/config", teamCatalog(2, R"("k1","k2")")); }

    uint32_t statusFor(const std::string& path, HeaderFields fields)
    {
        return request(path, "r-" + std::to_string(++m_requestCount), std::move(fields)).head.status;
    }

private:
    int m_requestCount { 0 };
};

} // namespace

// Guards against requests that run without a key of a team, and against sound ones that are refused.
TEST_F(TeamRequestTest, RequestsNeedAKeyUnlessTheRouteIsPublic)
{
    const auto node = startNode();
    EXPECT_EQ(statusFor("/safe/x", {}), 401U);
    EXPECT_EQ(statusFor("/safe/x", withKey("k3")), 401U);
    EXPECT_EQ(statusFor("/safe/x", { { "Authorization", "Bearer k1" }, { "Authorization", "Bearer k1" } }), 401U);
    EXPECT_EQ(firstTarget.runs().size() + secondTarget.runs().size(), 0U);
    EXPECT_EQ(statusFor("/open/x", {}), 200U);
    EXPECT_EQ(statusFor("/open/x", withKey("k3")), 200U);
    EXPECT_EQ(statusFor("/safe/x", withKey("k2")), 200U);
    EXPECT_EQ(statusFor("/stream/x", withKey("k9")), 200U);
    EXPECT_EQ(statusFor("/nowhere/x", {}), 404U);
}

// Guards against a key in the log or at a target, and against a tenant that the caller chooses.
TEST_F(TeamRequestTest, KeyStaysAtTheNode)
{
    testing::internal::CaptureStdout();
    store.remove("servers/i-2");
    auto node = startNode();
    auto fields = withKey("k1");
    fields.emplace_back("Cyclamenstair-Tenant", "u");
    EXPECT_EQ(statusFor("/safe/x", fields), 200U);
    EXPECT_EQ(statusFor("/safe/x", withKey("k1-unknown")), 401U);
    const auto received = firstTarget.lastFields();
    EXPECT_EQ(fieldValue(received, "Cyclamenstair-Tenant"), "t");
    EXPECT_FALSE(fieldValue(received, "Authorization"));
    node.reset();
    EXPECT_EQ(testing::internal::GetCapturedStdout().find("k1"), std::string::npos);
}

// Guards against a key that still opens the service after it was taken away, and against one that was added and is
// refused.
TEST_F(TeamRequestTest, KeysFollowTheCatalog)
{
    const auto node = startNode();
    EXPECT_EQ(statusFor("/safe/x", withKey("k1")), 200U);
    store.put("op/config", teamCatalog(3, R"("k2","k4")"));
    EXPECT_TRUE(eventually([&] { return statusFor("/safe/x", withKey("k1")) == 401U; }));
    EXPECT_EQ(statusFor("/safe/x", withKey("k4")), 200U);
    store.put("op/config", teamCatalog(4, ""));
    EXPECT_TRUE(eventually([&] { return statusFor("/safe/x", withKey("k4")) == 401U; }));
    EXPECT_EQ(statusFor("/safe/x", withKey("k9")), 200U);
}

// Guards against a key that stays in use at a node that the store does not serve, while its neighbours know the new
// catalog: the second node's store never gets it.
TEST_F(TeamRequestTest, WithdrawnKeyReachesNodesThroughTheirPeers)
{
    const auto peerAddress = allocateLoopbackAddress();
    const auto informedNode = startNode("node-1", "peer_listen = " + peerAddress + "\n");
    RegistryStoreStandIn oldStore;
    oldStore.put("op/config", teamCatalog(2, R"("k1","k2")"));
    for (auto* target : { &firstTarget, &secondTarget })
        oldStore.put("servers/" + target->id(), target->entry());
    // Each node knows the other one, as if both were registered in one store.
    const auto ownPeerAddress = allocateLoopbackAddress();
    store.put("control/nodes/node-2", encodeNodeEntry({ ownPeerAddress, "", 1 }));
    oldStore.put("control/nodes/node-1", encodeNodeEntry({ peerAddress, "", 1 }));
    const auto settings = SettingsReader::create("[node]\nmode = Registered\nid = node-2\n[entry]\nlisten = "
        + (callerAddress = allocateLoopbackAddress()) + "\nready_listen = " + (probeAddress = allocateLoopbackAddress())
        + "\npeer_listen = " + ownPeerAddress + "\n[control]\nstore = " + oldStore.address() + "\n");
    const auto uninformedNode = EntryNode::create(settings.value());
    ASSERT_TRUE(uninformedNode);
    EXPECT_TRUE(eventually([&] { return probe() == 200; }));
    EXPECT_EQ(statusFor("/safe/x", withKey("k1")), 200U);
    oldStore.setDown(true);
    store.put("op/config", teamCatalog(3, R"("k2")"));
    EXPECT_TRUE(eventually([&] { return statusFor("/safe/x", withKey("k1")) == 401U; }));
    EXPECT_EQ(statusFor("/safe/x", withKey("k2")), 200U);
}

// Guards against a team that gets more than its allotment, and against callers that are not told when to come back.
TEST_F(TeamRequestTest, RequestsBeyondTheAllotmentAreRefused)
{
    store.put(
        "op/config", teamCatalog(3, R"("k1")", R"(,"unit":"tokens","plain_tokens":200,"rate_per_s":100,"burst":2000)"));
    const auto node = startNode();
    EXPECT_TRUE(eventually([&] { return statusFor("/safe/x", withKey("k1")) == 429U; }));
    const auto runsBefore = firstTarget.runs().size() + secondTarget.runs().size();
    EXPECT_LE(runsBefore, 10U);
    const auto refused = request("/safe/x", "refused", withKey("k1"));
    EXPECT_EQ(refused.head.status, 429U);
    EXPECT_GT(std::stod(fieldValue(refused.head.fields, "Retry-After").value_or("0")), 0);
    EXPECT_EQ(runCount("refused"), 0);
    EXPECT_EQ(statusFor("/safe/x", withKey("k9")), 200U);
    EXPECT_NE(
        get(metricsAddress, "/metrics").body.find("cyclamenstair_team_refusals_total{team=\"t\"}"), std::string::npos);
}

// Guards against a contradictory version that replaces the one in force.
TEST_F(TeamRequestTest, ContradictoryVersionIsRejected)
{
    const auto node = startNode();
    store.put("op/config", teamCatalog(3, R"("k1","k9")"));
    store.put("op/config", teamCatalog(4, R"("k1")", R"(,"rate_per_s":-5)"));
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    EXPECT_EQ(statusFor("/safe/x", withKey("k2")), 200U);
}

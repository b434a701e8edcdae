#include <Cyclamenstair/Core/Crypto.h>
#include <Tests/Support/ProcessFleet.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <iostream>
#include <thread>

namespace cyclamenstair::testing {
namespace {

    using ::testing::HasSubstr;
    using Json = nlohmann::json;

    constexpr int planTimeoutMs = 5000; ///< Design page, section 1.7: time until a plan is active.
    constexpr double maxIdleCallsPerSecond = 0.5; ///< Design page, section 1.7: store calls of an idle node.
    constexpr int stabilizationTimeoutMs = 20000;

    constexpr const char* sheetHeader
        = "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n";

    /// Returns a sheet whose model has the window `windowMs`, so that sheets differ.
    std::string makeSheet(int windowMs, int services = 1)
    {
        std::string sheet
            = std::string(sheetHeader) + "model,draft,,4000,1,normal," + std::to_string(windowMs) + ",,,,,\n";
        for (int i = 0; i < services; ++i)
            sheet += "service,service-" + std::to_string(i) + ",,,,normal,3000,no,,,,\n";
        return sheet;
    }

    FleetSettings makeFleetSettings(int nodes)
    {
        FleetSettings settings;
        settings.nodes = nodes;
        settings.engines = 1;
        settings.services = 0;
        return settings;
    }

    uint64_t revisionOf(ProcessFleet& fleet, int node)
    {
        const auto status = fleet.status(node);
        return status ? (*status)["plan_revision"].get<uint64_t>() : 0;
    }

    bool waitForRevision(ProcessFleet& fleet, uint64_t revision, int timeoutMs, const std::vector<int>& nodes)
    {
        return fleet.waitUntil(
            [&] {
                return std::all_of(
                    nodes.begin(), nodes.end(), [&](int node) { return revisionOf(fleet, node) == revision; });
            },
            timeoutMs);
    }

    bool waitForMembers(ProcessFleet& fleet, size_t count)
    {
        return fleet.waitUntil(
            [&] {
                for (size_t node = 0; node < fleet.nodeCount(); ++node) {
                    const auto status = fleet.status(static_cast<int>(node));
                    if (!status || (*status)["members"].size() != count)
                        return false;
                }
                return true;
            },
            stabilizationTimeoutMs);
    }

    // Guards against plans that reach some nodes only through the store watch. The watches report no events, and each
    // node has a single seed, so the plan and the members must propagate from node to node.
    TEST(PlanSpread, ReachesAllNodesThroughPeersWithoutWatchEvents)
    {
        auto settings = makeFleetSettings(5);
        settings.seedsByNode = { { 0, { 1 } }, { 1, { 2 } }, { 2, { 3 } }, { 3, { 4 } }, { 4, { 3 } } };
        settings.nodeSettings["peer.gossip_interval_ms"] = "500";
        ProcessFleet fleet(settings);
        ProcessFleet::setFaults(fleet.storeAddress(), { { "mute_watches", 1 } });
        ASSERT_TRUE(waitForMembers(fleet, 5));
        for (int revision = 1; revision <= 3; ++revision) {
            ASSERT_EQ(fleet.acceptPlan(makeSheet(1000 + revision), revision), 0);
            const auto start = std::chrono::steady_clock::now();
            EXPECT_TRUE(waitForRevision(fleet, static_cast<uint64_t>(revision), planTimeoutMs, { 0, 1, 2, 3, 4 }));
            const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
            std::cout << "revision " << revision << " active on 5 nodes after " << elapsed.count() << " s\n";
        }
    }

    // Guards against nodes that miss the plan while at least a tenth of the links are down. One of five nodes is down,
    // and a new node has only that node and one live node as seeds.
    TEST(PlanSpread, ReachesNewNodeWhileAPeerIsDown)
    {
        auto settings = makeFleetSettings(5);
        settings.seedsByNode = { { 4, { 0, 1 } } };
        ProcessFleet fleet(settings);
        ASSERT_TRUE(waitForMembers(fleet, 5));
        fleet.killNode(0);
        fleet.killNode(4);
        ProcessFleet::setFaults(fleet.storeAddress(), { { "mute_watches", 1 } });
        ASSERT_EQ(fleet.acceptPlan(makeSheet(1000), 2), 0);
        EXPECT_TRUE(waitForRevision(fleet, 1, planTimeoutMs, { 1, 2, 3 }));
        fleet.startNode(4);
        EXPECT_TRUE(waitForRevision(fleet, 1, planTimeoutMs, { 4 }));
    }

    // Guards against nodes without seeds that never discover each other.
    TEST(PlanSpread, NodesWithoutSeedsDiscoverPeersByLeases)
    {
        auto settings = makeFleetSettings(2);
        settings.seedsByNode = { { 0, {} }, { 1, {} } };
        ProcessFleet fleet(settings);
        EXPECT_TRUE(waitForMembers(fleet, 2));
    }

    // Guards against two concurrent acceptances that are both reported as successful.
    TEST(PlanSpread, OneOfTwoConcurrentAcceptancesReportsConflict)
    {
        ProcessFleet fleet(makeFleetSettings(3));
        ASSERT_EQ(fleet.acceptPlan(makeSheet(1000)), 0);
        ASSERT_TRUE(waitForRevision(fleet, 1, planTimeoutMs, { 0, 1, 2 }));
        int statuses[2] = { -1, -1 };
        std::vector<std::thread> operators;
        for (int i = 0; i < 2; ++i)
            operators.emplace_back([&, i] {
                statuses[i] = fleet.acceptPlan(makeSheet(2000 + i), i,
                    { "--expected-revision", "1", "--operator", "operator-" + std::to_string(i) });
            });
        for (auto& thread : operators)
            thread.join();
        EXPECT_THAT(statuses, ::testing::UnorderedElementsAre(0, 4));
        EXPECT_TRUE(waitForRevision(fleet, 2, planTimeoutMs, { 0, 1, 2 }));
        const auto acceptedOperator = statuses[0] == 0 ? "operator-0" : "operator-1";

        // A new attempt based on the old revision reports the accepted revision and its operator.
        const auto path = "/tmp/cyclamenstair-sheet-" + randomId() + ".csv";
        std::ofstream(path) << makeSheet(3000);
        const auto [status, text] = fleet.runCtl({ "plan", "accept", path, "--expected-revision", "1" }, 2);
        EXPECT_EQ(status, 4);
        EXPECT_THAT(text, HasSubstr(std::string("revision 2 was accepted first, by ") + acceptedOperator));
        std::remove(path.c_str());
        EXPECT_THAT(fleet.runCtl({ "plan", "history" }, 1).second, HasSubstr(acceptedOperator));
    }

    // Guards against a node that starts without plan, targets or members, or with an older plan, while the store is
    // unavailable. The plan is larger than a peer message.
    TEST(PlanSpread, RestartedNodeGetsPlanAndTargetsFromPeersDuringStoreOutage)
    {
        ProcessFleet fleet(makeFleetSettings(3));
        constexpr int services = 20000;
        ASSERT_EQ(fleet.acceptPlan(makeSheet(1000, services)), 0);
        ASSERT_EQ(fleet.acceptPlan(makeSheet(2000, services), 0, { "--expected-revision", "1" }), 0);
        ASSERT_TRUE(waitForRevision(fleet, 2, planTimeoutMs, { 0, 1, 2 }));
        for (int node = 0; node < 3; ++node)
            ASSERT_TRUE(fleet.waitUntilReachable("draft", node, stabilizationTimeoutMs));
        ProcessFleet::setFaults(fleet.storeAddress(), { { "down", 1 } });
        fleet.killNode(2);
        fleet.startNode(2);
        EXPECT_TRUE(waitForRevision(fleet, 2, planTimeoutMs, { 2 }));
        EXPECT_TRUE(fleet.waitUntilReachable("draft", 2, planTimeoutMs));
        EXPECT_TRUE(waitForMembers(fleet, 3));
        const auto [status, sheet] = fleet.runCtl({ "plan", "show" }, 2);
        EXPECT_EQ(status, 0);
        EXPECT_THAT(sheet, HasSubstr("service-19999"));
        EXPECT_THAT(sheet, HasSubstr("model,draft,,4000,1,normal,2000,"));

        // A plan is reported as not accepted during the outage and is accepted after it.
        EXPECT_EQ(fleet.acceptPlan(makeSheet(3000), 2), 3);
        EXPECT_EQ(revisionOf(fleet, 2), 2U);
        ProcessFleet::setFaults(fleet.storeAddress(), { { "down", 0 } });
        EXPECT_EQ(fleet.acceptPlan(makeSheet(3000), 2), 0);
        EXPECT_TRUE(waitForRevision(fleet, 3, planTimeoutMs, { 0, 1, 2 }));
    }

    // Guards against a plan that is accepted twice or reported as failed because a response of the store is lost or
    // late.
    TEST(PlanSpread, LostAndLateStoreResponsesAreResolved)
    {
        ProcessFleet fleet(makeFleetSettings(2));
        ASSERT_EQ(fleet.acceptPlan(makeSheet(1000)), 0);
        ASSERT_TRUE(waitForRevision(fleet, 1, planTimeoutMs, { 0, 1 }));
        ProcessFleet::setFaults(fleet.storeAddress(), { { "lose_write_answers", 1 } });
        EXPECT_EQ(fleet.acceptPlan(makeSheet(2000), 1), 0);
        EXPECT_TRUE(waitForRevision(fleet, 2, planTimeoutMs, { 0, 1 }));
        ProcessFleet::setFaults(fleet.storeAddress(), { { "delay_ms", 300 } });
        EXPECT_EQ(fleet.acceptPlan(makeSheet(3000), 0), 0);
        EXPECT_TRUE(waitForRevision(fleet, 3, planTimeoutMs, { 0, 1 }));

        // Responses after the timeout: the tool reports that the plan was not accepted, and it does not take effect
        // later.
        ProcessFleet::setFaults(fleet.storeAddress(), { { "delay_ms", 1500 } });
        EXPECT_EQ(fleet.acceptPlan(makeSheet(4000), 0), 3);
        ProcessFleet::setFaults(fleet.storeAddress(), { { "delay_ms", 0 } });
        const auto history = fleet.runCtl({ "plan", "history", "--json" });
        ASSERT_EQ(history.first, 0);
        EXPECT_EQ(Json::parse(history.second)["history"].size(), 3U);
        EXPECT_EQ(revisionOf(fleet, 0), 3U);
    }

    // Guards against a node that keeps or returns to an old plan after a pause.
    TEST(PlanSpread, PausedNodeActivatesNewPlanAndNeverAnOlderOne)
    {
        ProcessFleet fleet(makeFleetSettings(3));
        ASSERT_EQ(fleet.acceptPlan(makeSheet(1000)), 0);
        ASSERT_TRUE(waitForRevision(fleet, 1, planTimeoutMs, { 0, 1, 2 }));
        fleet.node(2).sendSignal(SIGSTOP);
        ASSERT_EQ(fleet.acceptPlan(makeSheet(2000), 0), 0);
        ASSERT_TRUE(waitForRevision(fleet, 2, planTimeoutMs, { 0, 1 }));
        ASSERT_EQ(fleet.acceptPlan(makeSheet(3000), 1), 0);
        EXPECT_TRUE(waitForRevision(fleet, 3, planTimeoutMs, { 0, 1 }));
        fleet.node(2).sendSignal(SIGCONT);
        uint64_t previousRevision = 1;
        EXPECT_TRUE(fleet.waitUntil(
            [&] {
                const auto revision = revisionOf(fleet, 2);
                EXPECT_GE(revision, previousRevision);
                previousRevision = std::max(previousRevision, revision);
                return revision == 3;
            },
            planTimeoutMs));
        for (int i = 0; i < 20; ++i) {
            EXPECT_EQ(revisionOf(fleet, 2), 3U);
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }

    // Guards against store calls of idle nodes that grow with the fleet.
    TEST(PlanSpread, IdleNodesStayWithinStoreCallLimit)
    {
        constexpr int nodes = 3;
        constexpr int seconds = 20;
        ProcessFleet fleet(makeFleetSettings(nodes));
        ASSERT_EQ(fleet.acceptPlan(makeSheet(1000)), 0);
        ASSERT_TRUE(waitForRevision(fleet, 1, planTimeoutMs, { 0, 1, 2 }));
        for (int node = 0; node < nodes; ++node)
            ASSERT_TRUE(fleet.waitUntilReachable("draft", node, stabilizationTimeoutMs));
        const auto calls = [&] { return ProcessFleet::fetchJson(fleet.storeAddress(), "/calls")["calls"].get<int>(); };
        const int before = calls();
        std::this_thread::sleep_for(std::chrono::seconds(seconds));
        const int callCount = calls() - before;
        std::cout << callCount << " store calls by " << nodes << " idle nodes in " << seconds << " s\n";
        EXPECT_LE(callCount, maxIdleCallsPerSecond * nodes * seconds);
    }

    // Guards against plan changes without audit entry, and against dry runs that change the plan.
    TEST(PlanSpread, AuditFindingsAndDiffAreAvailableAtAnyNode)
    {
        ProcessFleet fleet(makeFleetSettings(2));
        ASSERT_TRUE(waitForMembers(fleet, 2));
        ASSERT_EQ(fleet.acceptPlan(makeSheet(1000), 0, { "--operator", "ada", "--reason", "morning plan" }), 0);
        ASSERT_TRUE(waitForRevision(fleet, 1, planTimeoutMs, { 0, 1 }));
        const auto audit = fleet.runCtl({ "audit", "--json" }, 1);
        ASSERT_EQ(audit.first, 0);
        const auto entries = Json::parse(audit.second)["entries"];
        const auto isAcceptance = [](const Json& entry) {
            return entry["node"] == "node-0" && entry["who"] == "ada" && entry["why"] == "morning plan"
                && entry["to_revision"] == 1;
        };
        EXPECT_TRUE(std::any_of(entries.begin(), entries.end(), isAcceptance)) << audit.second;

        const auto path = "/tmp/cyclamenstair-sheet-" + randomId() + ".csv";
        std::ofstream(path) << sheetHeader << "model,draft,,4000,1,normal,2000,,,,,\nmodel,huge,,99999,1,,,,,,,\n";
        const auto check = fleet.runCtl({ "plan", "check", path });
        EXPECT_EQ(check.first, 1);
        EXPECT_THAT(check.second, HasSubstr("line 3: model 'huge'"));
        const auto diff = fleet.runCtl({ "plan", "diff", path });
        EXPECT_THAT(diff.second, HasSubstr("removed  services  service-0"));
        EXPECT_EQ(fleet.runCtl({ "plan", "accept", path }).first, 1);
        std::remove(path.c_str());
        EXPECT_EQ(revisionOf(fleet, 0), 1U);
        EXPECT_EQ(fleet.runCtl({ "plan", "nonsense" }).first, 2);
    }

} // namespace
} // namespace cyclamenstair::testing

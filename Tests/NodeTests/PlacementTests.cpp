#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Core/Hash.h>
#include <Tests/Support/ProcessFleet.h>

#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace cyclamenstair::testing {
namespace {

    using Json = nlohmann::json;

    constexpr int reachableTimeoutMs = 30000;

    /// Returns a sheet with one model per name. An engine with 16 GiB has room for only one of them.
    std::string sheetWithModels(const std::vector<std::string>& models)
    {
        std::string sheet
            = "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n";
        for (const auto& model : models)
            sheet += "model," + model + ",,10000,1,normal,,,,,,\n";
        return sheet + "caller,board,,,,normal,10000,,,," + hashToken(ProcessFleet::callerToken) + ",\n";
    }

    /// The parameter is true if the engines ignore fencing tokens.
    class PlacementProcesses : public ::testing::TestWithParam<bool> {
    protected:
        static FleetSettings settings()
        {
            FleetSettings settings;
            settings.services = 0;
            settings.ignoreFencing = GetParam();
            settings.nodeSettings = { { "placement.order_timeout_ms", "1500" }, { "platform.poll_ms", "200" } };
            return settings;
        }

        /// Returns the index of the node that coordinates the engine pool while all nodes are alive.
        int coordinatorIndex() const
        {
            std::vector<std::string> nodes;
            for (size_t node = 0; node < m_fleet.nodeCount(); ++node)
                nodes.push_back("node-" + std::to_string(node));
            const auto owner = rendezvousOwner("drafting", nodes);
            return static_cast<int>(std::find(nodes.begin(), nodes.end(), owner) - nodes.begin());
        }

        int otherNodeIndex() const { return (coordinatorIndex() + 1) % 3; }

        void setEngineFaults(const Json& faults)
        {
            for (int engine = 0; engine < 3; ++engine)
                ProcessFleet::setFaults(m_fleet.engineAddress(engine), faults);
        }

        void expectReachable(const std::vector<std::string>& artifacts, int node)
        {
            for (const auto& artifact : artifacts)
                EXPECT_TRUE(m_fleet.waitUntilReachable(artifact, node, reachableTimeoutMs)) << artifact;
        }

        void expectNoOvercommit() { expectNoOvercommitExcept(""); }

        /// Checks all engines except `excluded`, which does not respond.
        void expectNoOvercommitExcept(const std::string& excluded)
        {
            for (int engine = 0; engine < 3; ++engine) {
                if (excluded == "engine-" + std::to_string(engine))
                    continue;
                const auto log = ProcessFleet::fetchJson(m_fleet.engineAddress(engine), "/log");
                EXPECT_EQ(log["overcommits"], 0) << log["artifacts"].dump();
            }
        }

        /// Returns the target to which `node` routes requests for the artifact; empty if there is none.
        std::string routedTarget(const std::string& artifact, int node)
        {
            const auto status = m_fleet.status(node);
            if (!status)
                return "";
            for (const auto& target : (*status)["targets"]) {
                const auto& residentArtifacts = target["artifacts"];
                if (!target["leaving"].get<bool>()
                    && std::find(residentArtifacts.begin(), residentArtifacts.end(), artifact)
                        != residentArtifacts.end())
                    return target["target"];
            }
            return "";
        }

        ProcessFleet m_fleet { settings() };
    };

    INSTANTIATE_TEST_SUITE_P(Engines, PlacementProcesses, ::testing::Bool(),
        [](const auto& tested) { return tested.param ? "IgnoreFencing" : "HonourFencing"; });

    // Guards against models that are never loaded, and against overcommitted engines, when orders or their responses
    // are lost or orders are delayed.
    TEST_P(PlacementProcesses, LostAndLateOrdersAreRetried)
    {
        setEngineFaults({ { "lose_orders", 1 }, { "lose_order_answers", 1 }, { "late_orders", 1 } });
        ASSERT_EQ(m_fleet.acceptPlan(sheetWithModels({ "a", "b", "c" })), 0);
        expectReachable({ "a", "b", "c" }, otherNodeIndex());
        expectNoOvercommit();
    }

    // Guards against overcommitted engines after a takeover that relies on the engines' reports while load orders of
    // the terminated coordinator are still in transit.
    TEST_P(PlacementProcesses, CoordinatorKilledDuringLoads)
    {
        setEngineFaults({ { "late_orders", 1 }, { "late_order_ms", 4000 } });
        ASSERT_EQ(m_fleet.acceptPlan(sheetWithModels({ "a", "b", "c" })), 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        m_fleet.killNode(coordinatorIndex());
        expectReachable({ "a", "b", "c" }, otherNodeIndex());
        std::this_thread::sleep_for(std::chrono::milliseconds(4000));
        expectNoOvercommit();
        expectReachable({ "a", "b", "c" }, otherNodeIndex());
    }

    // Guards against a takeover that places a model on another engine before it has read the report of the engine that
    // may still load it. If that engine ignores fencing tokens, memory stays reserved on both, and a third model cannot
    // be placed.
    TEST_P(PlacementProcesses, TakeoverWaitsForUnreadEngineReport)
    {
        setEngineFaults({ { "late_orders", 1 }, { "late_order_ms", 6000 } });
        ASSERT_EQ(m_fleet.acceptPlan(sheetWithModels({ "a", "b" })), 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        m_fleet.killNode(coordinatorIndex());
        // Equal engines are filled in VM list order, so engine 0 has received a load order.
        m_fleet.engine(0).sendSignal(SIGSTOP);
        ASSERT_EQ(m_fleet.acceptPlan(sheetWithModels({ "a", "b", "c" }), otherNodeIndex()), 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(5000));
        m_fleet.engine(0).sendSignal(SIGCONT);
        expectReachable({ "a", "b", "c" }, otherNodeIndex());
        expectNoOvercommit();
    }

    // Guards against orders from a paused coordinator that resumes after another node has taken over its targets.
    TEST_P(PlacementProcesses, PausedCoordinatorResumesAfterTakeover)
    {
        ASSERT_EQ(m_fleet.acceptPlan(sheetWithModels({ "a", "b", "c" })), 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        m_fleet.node(coordinatorIndex()).sendSignal(SIGSTOP);
        expectReachable({ "a", "b", "c" }, otherNodeIndex());
        EXPECT_EQ(m_fleet.acceptPlan(sheetWithModels({ "b", "c", "d" }), otherNodeIndex()), 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        m_fleet.node(coordinatorIndex()).sendSignal(SIGCONT);
        expectReachable({ "b", "c", "d" }, otherNodeIndex());
        expectReachable({ "b", "c", "d" }, coordinatorIndex());
        std::this_thread::sleep_for(std::chrono::milliseconds(2000));
        expectNoOvercommit();
    }

    // Guards against models that stay recorded as resident on an engine after its restart, and against overcommitting
    // the engine when they are loaded again.
    TEST_P(PlacementProcesses, RestartedEngineIsReloaded)
    {
        ASSERT_EQ(m_fleet.acceptPlan(sheetWithModels({ "a", "b", "c" })), 0);
        expectReachable({ "a", "b", "c" }, otherNodeIndex());
        const auto engineOf = [&](const std::string& artifact) {
            return std::stoi(routedTarget(artifact, otherNodeIndex()).substr(std::string("engine-").size()));
        };
        const int engine = engineOf("b");
        m_fleet.restartEngine(engine);
        EXPECT_TRUE(m_fleet.waitUntil(
            [&] {
                const auto log = ProcessFleet::fetchJson(m_fleet.engineAddress(engine), "/log");
                return log["artifacts"].size() == 1;
            },
            reachableTimeoutMs));
        expectReachable({ "a", "b", "c" }, otherNodeIndex());
        expectNoOvercommit();
    }

    // Guards against any node routing work to a leaving target 3 s after the notice, and against its models becoming
    // unreachable.
    TEST_P(PlacementProcesses, LeavingTargetReceivesNoNewWork)
    {
        ASSERT_EQ(m_fleet.acceptPlan(sheetWithModels({ "a", "b" })), 0);
        expectReachable({ "a", "b" }, otherNodeIndex());
        const auto leaveAndCheck = [&](const std::string& target, const std::function<void()>& leave) {
            leave();
            std::this_thread::sleep_for(std::chrono::milliseconds(3000));
            for (int node = 0; node < 3; ++node) {
                const auto status = m_fleet.status(node);
                ASSERT_TRUE(status);
                for (const auto& row : (*status)["targets"]) {
                    EXPECT_EQ(row["leaving"].get<bool>(), row["target"] == target) << "node " << node;
                }
                expectReachable({ "a", "b" }, node);
            }
        };
        const auto firstTarget = routedTarget("a", otherNodeIndex());
        leaveAndCheck(firstTarget, [&] { m_fleet.setVmState(firstTarget, "leaving"); });
        m_fleet.setVmState(firstTarget, "live");
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        const auto secondTarget = routedTarget("b", otherNodeIndex());
        const int engine = std::stoi(secondTarget.substr(std::string("engine-").size()));
        leaveAndCheck(secondTarget, [&] {
            ProcessFleet::setFaults(m_fleet.engineAddress(engine), { { "leaving", 1 } });
        });
        expectNoOvercommit();
    }

    // Guards against an unresponsive engine delaying loads on other engines.
    TEST_P(PlacementProcesses, UnresponsiveEngineDoesNotDelayOthers)
    {
        m_fleet.engine(0).sendSignal(SIGSTOP);
        ASSERT_EQ(m_fleet.acceptPlan(sheetWithModels({ "a", "b" })), 0);
        expectReachable({ "a", "b" }, otherNodeIndex());
        m_fleet.engine(0).sendSignal(SIGCONT);
        expectNoOvercommit();
    }

    // Guards against a model that stays assigned to a failed engine that is still on the VM list.
    TEST_P(PlacementProcesses, ModelOfFailedEngineIsPlacedElsewhere)
    {
        ASSERT_EQ(m_fleet.acceptPlan(sheetWithModels({ "a", "b" })), 0);
        expectReachable({ "a", "b" }, otherNodeIndex());
        const auto failedEngine = routedTarget("a", otherNodeIndex());
        m_fleet.killEngine(std::stoi(failedEngine.substr(std::string("engine-").size())));
        EXPECT_TRUE(m_fleet.waitUntil(
            [&] {
                const auto status = m_fleet.status(otherNodeIndex());
                return status
                    && std::any_of((*status)["targets"].begin(), (*status)["targets"].end(), [&](const auto& target) {
                           const auto& residentArtifacts = target["artifacts"];
                           return target["target"] != failedEngine
                               && std::find(residentArtifacts.begin(), residentArtifacts.end(), "a")
                               != residentArtifacts.end();
                       });
            },
            reachableTimeoutMs));
        expectNoOvercommitExcept(failedEngine);
    }

    // Guards against a handover that waits for the heartbeat timeout although the coordinator stops gracefully.
    TEST_P(PlacementProcesses, StoppedCoordinatorReleasesItsTargets)
    {
        ASSERT_EQ(m_fleet.acceptPlan(sheetWithModels({ "a", "b", "c" })), 0);
        expectReachable({ "a", "b", "c" }, otherNodeIndex());
        m_fleet.node(coordinatorIndex()).sendSignal(SIGTERM);
        EXPECT_EQ(m_fleet.node(coordinatorIndex()).wait(20000), 0);
        EXPECT_EQ(m_fleet.acceptPlan(sheetWithModels({ "b", "c", "d" }), otherNodeIndex()), 0);
        expectReachable({ "b", "c", "d" }, otherNodeIndex());
        expectNoOvercommit();
    }

} // namespace
} // namespace cyclamenstair::testing

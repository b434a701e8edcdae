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

    constexpr int reachLimitMs = 30000;

    /// Returns a sheet with one model per name, of which an engine of 16 GiB holds one only.
    std::string sheetOf(const std::vector<std::string>& models)
    {
        std::string sheet
            = "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n";
        for (const auto& model : models)
            sheet += "model," + model + ",,10000,1,normal,,,,,,\n";
        return sheet + "caller,board,,,,normal,10000,,,," + hashToken(ProcessFleet::callerToken) + ",\n";
    }

    /// Whether the engines refuse orders with an old fencing number.
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

        /// Returns the node that coordinates the engines' pool while all nodes are alive.
        int coordinator() const
        {
            std::vector<std::string> nodes;
            for (size_t node = 0; node < m_fleet.nodeCount(); ++node)
                nodes.push_back("node-" + std::to_string(node));
            const auto owner = rendezvousOwner("drafting", nodes);
            return static_cast<int>(std::find(nodes.begin(), nodes.end(), owner) - nodes.begin());
        }

        int otherNode() const { return (coordinator() + 1) % 3; }

        void setEngineFaults(const Json& faults)
        {
            for (int engine = 0; engine < 3; ++engine)
                ProcessFleet::setFaults(m_fleet.engineAddress(engine), faults);
        }

        void expectReachable(const std::vector<std::string>& artifacts, int node)
        {
            for (const auto& artifact : artifacts)
                EXPECT_TRUE(m_fleet.waitUntilReachable(artifact, node, reachLimitMs)) << artifact;
        }

        void expectNoOvercommit() { expectNoOvercommitBut(""); }

        /// Checks the engines but the given one, which does not answer.
        void expectNoOvercommitBut(const std::string& lost)
        {
            for (int engine = 0; engine < 3; ++engine) {
                if (lost == "engine-" + std::to_string(engine))
                    continue;
                const auto log = ProcessFleet::fetchJson(m_fleet.engineAddress(engine), "/log");
                EXPECT_EQ(log["overcommits"], 0) << log["artifacts"].dump();
            }
        }

        /// Returns the target that node `node` sends requests for the artifact to; empty if there is none.
        std::string holderOf(const std::string& artifact, int node)
        {
            const auto status = m_fleet.status(node);
            if (!status)
                return "";
            for (const auto& target : (*status)["targets"]) {
                const auto& held = target["artifacts"];
                if (!target["leaving"].get<bool>() && std::find(held.begin(), held.end(), artifact) != held.end())
                    return target["target"];
            }
            return "";
        }

        ProcessFleet m_fleet { settings() };
    };

    INSTANTIATE_TEST_SUITE_P(Engines, PlacementProcesses, ::testing::Bool(),
        [](const auto& tested) { return tested.param ? "IgnoreFencing" : "HonourFencing"; });

    // Guards against orders whose loss or lateness leaves a model out or overcommits an engine.
    TEST_P(PlacementProcesses, LostAndLateOrdersAreRepeated)
    {
        setEngineFaults({ { "lose_orders", 1 }, { "lose_order_answers", 1 }, { "late_orders", 1 } });
        ASSERT_EQ(m_fleet.acceptPlan(sheetOf({ "a", "b", "c" })), 0);
        expectReachable({ "a", "b", "c" }, otherNode());
        expectNoOvercommit();
    }

    // Guards against a takeover that trusts the engines' reports while loads of the dead coordinator are on their way.
    TEST_P(PlacementProcesses, CoordinatorKilledInTheMiddleOfLoads)
    {
        setEngineFaults({ { "late_orders", 1 }, { "late_order_ms", 4000 } });
        ASSERT_EQ(m_fleet.acceptPlan(sheetOf({ "a", "b", "c" })), 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        m_fleet.killNode(coordinator());
        expectReachable({ "a", "b", "c" }, otherNode());
        std::this_thread::sleep_for(std::chrono::milliseconds(4000));
        expectNoOvercommit();
        expectReachable({ "a", "b", "c" }, otherNode());
    }

    // Guards against a takeover that places a model elsewhere before it has read the engine that may yet load it. If
    // that engine ignores fencing, both places stay reserved and a third model finds none.
    TEST_P(PlacementProcesses, TakeoverWaitsForAnEngineThatIsNotRead)
    {
        setEngineFaults({ { "late_orders", 1 }, { "late_order_ms", 6000 } });
        ASSERT_EQ(m_fleet.acceptPlan(sheetOf({ "a", "b" })), 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        m_fleet.killNode(coordinator());
        // Equal engines are filled in the order of the VM list.
        m_fleet.engine(0).sendSignal(SIGSTOP);
        ASSERT_EQ(m_fleet.acceptPlan(sheetOf({ "a", "b", "c" }), otherNode()), 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(5000));
        m_fleet.engine(0).sendSignal(SIGCONT);
        expectReachable({ "a", "b", "c" }, otherNode());
        expectNoOvercommit();
    }

    // Guards against orders of a coordinator that wakes after another node took its targets over.
    TEST_P(PlacementProcesses, CoordinatorPausedBeyondTheTakeover)
    {
        ASSERT_EQ(m_fleet.acceptPlan(sheetOf({ "a", "b", "c" })), 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        m_fleet.node(coordinator()).sendSignal(SIGSTOP);
        expectReachable({ "a", "b", "c" }, otherNode());
        EXPECT_EQ(m_fleet.acceptPlan(sheetOf({ "b", "c", "d" }), otherNode()), 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        m_fleet.node(coordinator()).sendSignal(SIGCONT);
        expectReachable({ "b", "c", "d" }, otherNode());
        expectReachable({ "b", "c", "d" }, coordinator());
        std::this_thread::sleep_for(std::chrono::milliseconds(2000));
        expectNoOvercommit();
    }

    // Guards against a restarted engine that keeps being called resident, and against a reload beyond its memory.
    TEST_P(PlacementProcesses, RestartedEnginesAreLoadedAgain)
    {
        ASSERT_EQ(m_fleet.acceptPlan(sheetOf({ "a", "b", "c" })), 0);
        expectReachable({ "a", "b", "c" }, otherNode());
        const auto engineOf = [&](const std::string& artifact) {
            return std::stoi(holderOf(artifact, otherNode()).substr(std::string("engine-").size()));
        };
        const int engine = engineOf("b");
        m_fleet.restartEngine(engine);
        EXPECT_TRUE(m_fleet.waitUntil(
            [&] {
                const auto log = ProcessFleet::fetchJson(m_fleet.engineAddress(engine), "/log");
                return log["artifacts"].size() == 1;
            },
            reachLimitMs));
        expectReachable({ "a", "b", "c" }, otherNode());
        expectNoOvercommit();
    }

    // Guards against work for a leaving target at any node 3 s after the notice, and against its models being lost.
    TEST_P(PlacementProcesses, LeavingTargetIsReplacedWithinSeconds)
    {
        ASSERT_EQ(m_fleet.acceptPlan(sheetOf({ "a", "b" })), 0);
        expectReachable({ "a", "b" }, otherNode());
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
        const auto first = holderOf("a", otherNode());
        leaveAndCheck(first, [&] { m_fleet.setVmState(first, "leaving"); });
        m_fleet.setVmState(first, "live");
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        const auto second = holderOf("b", otherNode());
        const int engine = std::stoi(second.substr(std::string("engine-").size()));
        leaveAndCheck(second, [&] { ProcessFleet::setFaults(m_fleet.engineAddress(engine), { { "leaving", 1 } }); });
        expectNoOvercommit();
    }

    // Guards against a slow engine that holds up the loads of the others.
    TEST_P(PlacementProcesses, DeadEngineHoldsUpNoOther)
    {
        m_fleet.engine(0).sendSignal(SIGSTOP);
        ASSERT_EQ(m_fleet.acceptPlan(sheetOf({ "a", "b" })), 0);
        expectReachable({ "a", "b" }, otherNode());
        m_fleet.engine(0).sendSignal(SIGCONT);
        expectNoOvercommit();
    }

    // Guards against a model that stays with a lost engine which the VM list still names.
    TEST_P(PlacementProcesses, ModelOfALostEngineIsPlacedElsewhere)
    {
        ASSERT_EQ(m_fleet.acceptPlan(sheetOf({ "a", "b" })), 0);
        expectReachable({ "a", "b" }, otherNode());
        const auto lost = holderOf("a", otherNode());
        m_fleet.killEngine(std::stoi(lost.substr(std::string("engine-").size())));
        EXPECT_TRUE(m_fleet.waitUntil(
            [&] {
                const auto status = m_fleet.status(otherNode());
                return status
                    && std::any_of((*status)["targets"].begin(), (*status)["targets"].end(), [&](const auto& target) {
                           const auto& held = target["artifacts"];
                           return target["target"] != lost && std::find(held.begin(), held.end(), "a") != held.end();
                       });
            },
            reachLimitMs));
        expectNoOvercommitBut(lost);
    }

    // Guards against a hand-over that waits for the heartbeat's time-out although the coordinator stops as planned.
    TEST_P(PlacementProcesses, StoppedCoordinatorGivesItsTargetsBack)
    {
        ASSERT_EQ(m_fleet.acceptPlan(sheetOf({ "a", "b", "c" })), 0);
        expectReachable({ "a", "b", "c" }, otherNode());
        m_fleet.node(coordinator()).sendSignal(SIGTERM);
        EXPECT_EQ(m_fleet.node(coordinator()).wait(20000), 0);
        EXPECT_EQ(m_fleet.acceptPlan(sheetOf({ "b", "c", "d" }), otherNode()), 0);
        expectReachable({ "b", "c", "d" }, otherNode());
        expectNoOvercommit();
    }

} // namespace
} // namespace cyclamenstair::testing

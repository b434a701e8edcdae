#include <Benchmarks/LoadFleet.h>
#include <Tests/Support/HistoryChecker.h>

#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace cyclamenstair::testing {

namespace {

    using load::Deployment;
    using load::RequestResult;
    using load::RequestSender;

    constexpr uint64_t seed = 20261204;
    constexpr double callsPerSecond = 60;
    constexpr double runSeconds = 2;
    constexpr size_t senderThreads = 100;
    constexpr int lastNode = 2;
    constexpr int pauseMs = 700;

    Deployment historyDeployment()
    {
        auto deployment = Deployment::create(load::DeploymentKind::PrairieHours);
        deployment.nodes = 3;
        deployment.engines = 4;
        deployment.services = 2;
        deployment.models = 3;
        deployment.adapters = 2;
        deployment.weightLoadMs = 50;
        // Long windows keep callers from timing out during faults; these tests do not check response windows.
        for (auto& caller : deployment.callers)
            caller.windowMs = 20000;
        return deployment;
    }

    /// A fault that is applied at a given time of the run.
    struct FaultStep {
        double atSeconds;
        std::function<void()> apply;
    };

    /// Runs generated requests through three nodes while faults are applied and checks the history of all requests. The
    /// tests share the fleet because its start takes longer than a run, so each test must end with all processes
    /// running.
    class History : public ::testing::Test {
    protected:
        static void SetUpTestSuite()
        {
            sharedFleet = std::make_unique<load::LoadFleet>(historyDeployment(), load::PolicyKind::Default);
        }
        static void TearDownTestSuite() { sharedFleet.reset(); }

        ProcessFleet& fleet() { return sharedFleet->processes(); }

        void setEngineFaults(int engine, const nlohmann::json& faults)
        {
            ProcessFleet::setFaults(fleet().engineAddress(engine), faults);
        }

        /// Kills an engine while it runs at least two requests. Its log is read just before; the checks miss runs that
        /// start in between.
        void killEngine(int engine)
        {
            constexpr int timeoutMs = 1000;
            const bool isBusy = fleet().waitUntil([&] { return readEngineLog(engine) >= 2; }, timeoutMs);
            fleet().killEngine(engine);
            EXPECT_TRUE(isBusy) << "the engine ran fewer than two requests concurrently, so the test is inconclusive";
        }

        void killLastNode()
        {
            m_nodeKilledAt = now();
            fleet().killNode(lastNode);
        }

        /// Sends the generated requests, applies the fault steps and returns all findings.
        std::vector<HistoryFinding> run(uint64_t runSeed, const std::vector<FaultStep>& faultSteps)
        {
            const auto deployment = historyDeployment();
            load::MixSettings mix;
            mix.seed = runSeed;
            mix.longWorkShare = 0.1;
            mix.bookingShare = 0.15;
            mix.streamShare = 0.5;
            mix.rate = { { 0, callsPerSecond }, { runSeconds, callsPerSecond } };
            const auto calls = generateRequests(deployment, mix);
            std::vector<std::string> addresses;
            for (int node = 0; node < deployment.nodes; ++node)
                addresses.push_back(fleet().callerAddress(node));
            m_start = std::chrono::steady_clock::now();
            std::thread faults([&] {
                for (const auto& step : faultSteps) {
                    std::this_thread::sleep_until(
                        m_start + std::chrono::milliseconds(static_cast<int>(step.atSeconds * 1000)));
                    step.apply();
                }
            });
            const auto results = RequestSender(deployment, addresses).sendAll(calls, senderThreads);
            faults.join();
            for (size_t engine = 0; engine < fleet().engineCount(); ++engine)
                readEngineLog(static_cast<int>(engine));
            for (int service = 0; service < deployment.services; ++service)
                readServiceLog(service);
            std::vector<ObservedRequest> records;
            for (size_t i = 0; i < calls.size(); ++i) {
                records.push_back(results[i].record);
                records.back().isDisconnectAllowed = isDisconnectAllowed(calls[i], results[i]);
            }
            return checkHistory(records, m_logs, calls.size());
        }

    private:
        double now() const { return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count(); }

        /// Returns whether the connection of the request may break: only if its node was killed while the request was
        /// in progress.
        bool isDisconnectAllowed(const load::PlannedRequest& call, const RequestResult& result) const
        {
            constexpr double slackSeconds = 0.1;
            const bool isOfLastNode = call.number % fleetNodes() == lastNode;
            return m_nodeKilledAt && isOfLastNode && call.atSeconds <= *m_nodeKilledAt + slackSeconds
                && call.atSeconds + result.latencyMs / 1000 >= *m_nodeKilledAt - slackSeconds;
        }

        static uint64_t fleetNodes() { return sharedFleet->processes().nodeCount(); }

        /// Adds the engine's log to the history and returns the number of requests in progress.
        int readEngineLog(int engine)
        {
            const auto log = ProcessFleet::fetchJson(fleet().engineAddress(engine), "/log");
            int running = 0;
            for (const auto& run : log["runs"]) {
                m_logs.requestIds.insert(run["request_id"].get<std::string>());
                running += run["finished"].get<bool>() || run["cancelled"].get<bool>() ? 0 : 1;
            }
            return running;
        }

        void readServiceLog(int service)
        {
            const auto log = ProcessFleet::fetchJson(fleet().serviceAddress(service), "/log");
            for (const auto& id : log["request_ids"])
                m_logs.requestIds.insert(id.get<std::string>());
            for (const auto& [key, count] : log["runs_by_key"].items())
                m_logs.runsByKey[key] += count.get<int>();
        }

        static inline std::unique_ptr<load::LoadFleet> sharedFleet;
        std::chrono::steady_clock::time_point m_start;
        std::optional<double> m_nodeKilledAt;
        TargetLogs m_logs;
    };

    // Guards against lost, duplicated or mixed-up responses when one node is paused and another one killed during
    // requests.
    TEST_F(History, NodePausedAndNodeKilled)
    {
        const auto findings = run(seed,
            { { 0.4, [&] { fleet().node(0).sendSignal(SIGSTOP); } },
                { 0.4 + pauseMs / 1000.0, [&] { fleet().node(0).sendSignal(SIGCONT); } },
                { 1.4, [&] { killLastNode(); } }, { 1.8, [&] { fleet().startNode(lastNode); } } });
        EXPECT_TRUE(findings.empty()) << describeFindings(findings);
    }

    // Guards against false "not run" outcomes and against bookings that run again after their response was lost.
    TEST_F(History, RequestsRejectedAndServiceResponsesLost)
    {
        const auto findings = run(seed + 1,
            { { 0.3,
                  [&] {
                      setEngineFaults(0, { { "refuse", 1 } });
                      setEngineFaults(1, { { "refuse", 1 } });
                      ProcessFleet::setFaults(fleet().serviceAddress(0), { { "lose_service_answers", 4 } });
                  } },
                { 1.0,
                    [&] {
                        setEngineFaults(2, { { "refuse", 1 } });
                    } },
                { 1.4,
                    [&] {
                        setEngineFaults(3, { { "refuse", 1 } });
                    } },
                { 1.8, [&] {
                     for (int engine = 0; engine < 4; ++engine)
                         setEngineFaults(engine, { { "refuse", 0 } });
                 } } });
        EXPECT_TRUE(findings.empty()) << describeFindings(findings);
    }

    // Guards against lost or truncated responses after a stream from an engine broke.
    TEST_F(History, StreamsBroken)
    {
        const auto findings = run(seed + 2,
            { { 0.3,
                  [&] {
                      setEngineFaults(0, { { "break_streams", 3 } });
                  } },
                { 0.8,
                    [&] {
                        setEngineFaults(1, { { "break_streams", 3 } });
                    } },
                { 1.3, [&] {
                     setEngineFaults(2, { { "break_streams", 3 } });
                 } } });
        for (int engine = 0; engine < 4; ++engine)
            setEngineFaults(engine, { { "break_streams", 0 } });
        EXPECT_TRUE(findings.empty()) << describeFindings(findings);
    }

    // Guards against lost, truncated or mixed-up responses after an engine was killed while it ran requests.
    TEST_F(History, EngineKilled)
    {
        const auto findings
            = run(seed + 3, { { 0.8, [&] { killEngine(3); } }, { 1.6, [&] { fleet().startEngine(3); } } });
        EXPECT_TRUE(findings.empty()) << describeFindings(findings);
    }

    // Guards against invariant violations that occur only when several faults coincide.
    TEST_F(History, AllFaultsCombined)
    {
        const auto findings = run(seed + 4,
            { { 0.3,
                  [&] {
                      setEngineFaults(0, { { "break_streams", 2 } });
                      setEngineFaults(1, { { "refuse", 1 } });
                      ProcessFleet::setFaults(fleet().serviceAddress(1), { { "lose_service_answers", 2 } });
                  } },
                { 0.6, [&] { fleet().node(1).sendSignal(SIGSTOP); } }, { 0.8, [&] { killEngine(3); } },
                { 1.1, [&] { killLastNode(); } }, { 1.3, [&] { fleet().node(1).sendSignal(SIGCONT); } },
                { 1.4,
                    [&] {
                        setEngineFaults(1, { { "refuse", 0 } });
                    } },
                { 1.6, [&] { fleet().startEngine(3); } }, { 1.7, [&] { fleet().startNode(lastNode); } } });
        EXPECT_TRUE(findings.empty()) << describeFindings(findings);
    }

} // namespace

} // namespace cyclamenstair::testing

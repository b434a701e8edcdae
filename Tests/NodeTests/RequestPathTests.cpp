#include <Cyclamenstair/Core/Crypto.h>
#include <StandIns/EngineStandIn.h>
#include <Tests/Support/ProcessFleet.h>

#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <httplib.h>
#include <thread>

namespace cyclamenstair::testing {
namespace {

    using Json = nlohmann::json;

    constexpr uint32_t longResponseTokens = 300;

    /// Response to a streamed completion as the caller receives it.
    struct StreamResult {
        int status { 0 };
        std::string text;
        bool isDone { false };
        bool isIntact { false }; ///< The connection ended with the last chunk and no event was truncated.
    };

    /// Fixture with one node, several engines that have all loaded the same model, and services.
    class RequestPath : public ::testing::Test {
    protected:
        void startFleet(FleetSettings settings = {})
        {
            settings.nodes = 1;
            m_fleet = std::make_unique<ProcessFleet>(settings);
            const auto replicas = std::to_string(settings.engines);
            const std::string planSheet
                = "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,"
                  "burst,token_hash,allowed\n"
                  "model,draft,,4000,"
                + replicas
                + ",normal,,,,,,\nservice,bookings,,,,high,3000,no,,,,\nservice,roster,,,,normal,3000,yes,,,,\n"
                  "caller,board,,,,normal,10000,,,,"
                + hashToken(ProcessFleet::callerToken) + ",\n";
            ASSERT_EQ(m_fleet->acceptPlan(planSheet), 0);
            ASSERT_TRUE(m_fleet->waitUntil(
                [&] {
                    size_t loadedEngines = 0;
                    for (size_t engine = 0; engine < m_fleet->engineCount(); ++engine)
                        loadedEngines += hasLoadedModel(static_cast<int>(engine)) ? 1 : 0;
                    return loadedEngines == m_fleet->engineCount() && loadedTargetsInStatus() == loadedEngines;
                },
                20000));
            ASSERT_TRUE(m_fleet->waitUntilReachable("bookings", 0, 10000));
        }

        bool hasLoadedModel(int engine) { return log(engine)["artifacts"] == Json::array({ "draft" }); }

        size_t loadedTargetsInStatus()
        {
            size_t count = 0;
            const auto status = m_fleet->status(0);
            for (const auto& target : (*status)["targets"])
                count += target["artifacts"] == Json::array({ "draft" }) ? 1 : 0;
            return count;
        }

        Json log(int engine) { return ProcessFleet::fetchJson(m_fleet->engineAddress(engine), "/log"); }

        void setFaults(int engine, const Json& faults)
        {
            ProcessFleet::setFaults(m_fleet->engineAddress(engine), faults);
        }

        void setAllFaults(const Json& faults)
        {
            for (size_t engine = 0; engine < m_fleet->engineCount(); ++engine)
                setFaults(static_cast<int>(engine), faults);
        }

        std::vector<Json> runs()
        {
            std::vector<Json> all;
            for (size_t engine = 0; engine < m_fleet->engineCount(); ++engine) {
                const auto engineLog = log(static_cast<int>(engine));
                for (auto run : engineLog["runs"]) {
                    run["engine"] = engine;
                    all.push_back(run);
                }
            }
            return all;
        }

        /// Returns the index of an engine that is running a request, or -1 if there is none.
        int findBusyEngine()
        {
            for (const auto& run : runs()) {
                if (run["tokens"] > 0 && !run["finished"] && !run["cancelled"])
                    return run["engine"].get<int>();
            }
            return -1;
        }

        httplib::Client client()
        {
            httplib::Client result("http://" + m_fleet->callerAddress(0));
            result.set_read_timeout(std::chrono::seconds(20));
            return result;
        }

        static httplib::Headers headers()
        {
            return { { "Authorization", std::string("Bearer ") + ProcessFleet::callerToken } };
        }

        static Json body(const std::string& prompt, uint32_t tokens, bool isStream)
        {
            return { { "model", "draft" }, { "prompt", prompt }, { "max_tokens", tokens }, { "stream", isStream } };
        }

        httplib::Result postCompletion(const std::string& prompt, uint32_t tokens)
        {
            return client().Post("/v1/completions", headers(), body(prompt, tokens, false).dump(), "application/json");
        }

        void expectCompletion(const std::string& prompt, uint32_t tokens)
        {
            const auto response = postCompletion(prompt, tokens);
            ASSERT_TRUE(response);
            ASSERT_EQ(response->status, 200) << response->body;
            EXPECT_EQ(response->get_header_value("X-Outcome"), "complete");
            EXPECT_EQ(Json::parse(response->body)["choices"][0]["text"],
                standin::expectedCompletion("draft", prompt, tokens));
        }

        /// Streams a completion. The caller disconnects after `disconnectAfterBytes` bytes.
        StreamResult stream(const std::string& prompt, uint32_t tokens, size_t disconnectAfterBytes = SIZE_MAX)
        {
            httplib::Request request;
            request.method = "POST";
            request.path = "/v1/completions";
            request.headers = headers();
            request.body = body(prompt, tokens, true).dump();
            request.set_header("Content-Type", "application/json");
            std::string bytes;
            request.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
                bytes.append(data, size);
                return bytes.size() < disconnectAfterBytes;
            };
            auto caller = client();
            const auto response = caller.send(request);
            StreamResult result;
            result.isIntact = static_cast<bool>(response);
            result.status = response ? response->status : 0;
            for (size_t end = bytes.find("\n\n"); end != std::string::npos; end = bytes.find("\n\n")) {
                const auto event = bytes.substr(0, end);
                bytes.erase(0, end + 2);
                if (event == "data: [DONE]")
                    result.isDone = true;
                else if (event.starts_with("data: ")) // Callers ignore comments.
                    result.text += Json::parse(event.substr(6))["choices"][0]["text"].get<std::string>();
            }
            result.isIntact = result.isIntact && bytes.empty();
            return result;
        }

        void expectStream(const StreamResult& response, const std::string& prompt, uint32_t tokens)
        {
            EXPECT_EQ(response.status, 200);
            EXPECT_TRUE(response.isDone);
            EXPECT_TRUE(response.isIntact);
            EXPECT_EQ(response.text, standin::expectedCompletion("draft", prompt, tokens));
        }

        std::unique_ptr<ProcessFleet> m_fleet;
    };

    // Guards against gaps and duplicates in a stream whose targets break the connection several times in a row.
    TEST_F(RequestPath, BrokenStreamIsResumed)
    {
        startFleet();
        setAllFaults({ { "break_streams", 2 } });
        for (const std::string prompt : { "one", "two", "three" })
            expectStream(stream(prompt, 40), prompt, 40);
        // Tokens that were already delivered are not generated again.
        uint64_t tokens = 0;
        for (const auto& run : runs())
            tokens += run["tokens"].get<uint64_t>();
        EXPECT_EQ(tokens, 120u);
    }

    // Guards against a stream that hangs because its target stalls without closing the connection.
    TEST_F(RequestPath, StalledStreamIsResumed)
    {
        FleetSettings settings;
        settings.nodeSettings = { { "request.idle_timeout_ms", "400" } };
        startFleet(settings);
        setAllFaults({ { "stall_streams", 1 } });
        for (const std::string prompt : { "one", "two" })
            expectStream(stream(prompt, 30), prompt, 30);
    }

    // Guards against requests that are lost with their engine, or reported as unknown although they are repeatable.
    TEST_F(RequestPath, RequestsSurviveKilledEngine)
    {
        FleetSettings settings;
        settings.tokenMs = 5;
        startFleet(settings);
        std::thread caller(
            [&] { expectStream(stream("streamed", longResponseTokens), "streamed", longResponseTokens); });
        std::thread completionCaller([&] { expectCompletion("whole", longResponseTokens); });
        int engine = -1;
        EXPECT_TRUE(m_fleet->waitUntil([&] { return (engine = findBusyEngine()) >= 0; }, 5000));
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        if (engine >= 0) {
            m_fleet->engine(engine).sendSignal(SIGKILL);
            m_fleet->engine(engine).wait(5000);
        }
        caller.join();
        completionCaller.join();
        for (int i = 0; i < 6; ++i)
            expectCompletion("after " + std::to_string(i), 4);
    }

    // Guards against returning a target's error to the caller while another target could serve the request.
    TEST_F(RequestPath, RejectionsAndErrorsAreRetriedOnOtherTargets)
    {
        startFleet();
        setFaults(0, { { "refuse", 1 } });
        setFaults(1, { { "fail_completions", 3 } });
        for (int i = 0; i < 9; ++i)
            expectCompletion("prompt " + std::to_string(i), 4);
        EXPECT_TRUE(log(0)["runs"].empty());
    }

    // Guards against the outcome "not run" for work that ran, and "unknown" for work that did not.
    TEST_F(RequestPath, RejectionByAllTargetsIsReportedAsNotRun)
    {
        startFleet();
        setAllFaults({ { "refuse", 1 } });
        const auto response = postCompletion("refused", 4);
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 503);
        EXPECT_EQ(response->get_header_value("X-Outcome"), "not_run");
        EXPECT_TRUE(runs().empty());
    }

    // Guards against a response that looks complete after the retry limit, and against "not run" after the work ran.
    TEST_F(RequestPath, RetryLimitClosesConnectionWithoutResponse)
    {
        FleetSettings settings;
        settings.nodeSettings = { { "request.repeat_limit_ms", "1500" } };
        startFleet(settings);
        setAllFaults({ { "fail_completions", 100000 }, { "break_streams", 100000 } });
        EXPECT_FALSE(postCompletion("broken", 4));
        const auto response = stream("broken", 40);
        EXPECT_FALSE(response.isIntact);
        EXPECT_FALSE(response.isDone);
        EXPECT_TRUE(standin::expectedCompletion("draft", "broken", 40).starts_with(response.text));
    }

    // Guards against a second run of a request that is not repeatable, and against a wrong outcome for the first run.
    TEST_F(RequestPath, LostBookingResponseIsUnknownAndNotRetried)
    {
        FleetSettings settings;
        settings.services = 2;
        startFleet(settings);
        for (int service = 0; service < 2; ++service)
            ProcessFleet::setFaults(m_fleet->serviceAddress(service), { { "lose_service_answers", 1 } });
        auto withKey = headers();
        withKey.emplace("Idempotency-Key", "key-1");
        const auto response = client().Post("/services/bookings/slots", withKey, "{}", "application/json");
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 504);
        EXPECT_EQ(response->get_header_value("X-Outcome"), "unknown");
        int count = 0;
        for (int service = 0; service < 2; ++service)
            count += ProcessFleet::fetchJson(m_fleet->serviceAddress(service), "/log")["runs_by_key"].value("key-1", 0);
        EXPECT_EQ(count, 1);
        // Reads are repeatable: another service or a later attempt responds.
        const auto read = client().Get("/services/roster/rows", headers());
        ASSERT_TRUE(read);
        EXPECT_EQ(read->status, 200);
    }

    // Guards against tail latency set by the slowest target, against hedges beyond their budget, and against cancelling
    // the attempt that delivers the response.
    TEST_F(RequestPath, SlowTargetIsHedgedWithinBudget)
    {
        FleetSettings settings;
        settings.engines = 4;
        startFleet(settings);
        constexpr int warmUp = 100;
        constexpr int count = 300;
        const auto run = [&](int from, int to) {
            std::atomic<int> next { from };
            std::vector<std::thread> callers;
            for (int i = 0; i < 4; ++i) {
                callers.emplace_back([&] {
                    for (int request = next++; request < to; request = next++)
                        expectStream(stream("p" + std::to_string(request), 6), "p" + std::to_string(request), 6);
                });
            }
            for (auto& caller : callers)
                caller.join();
        };
        run(0, warmUp);
        setFaults(2, { { "slow_factor", 50 } });
        run(warmUp, count);

        const auto all = runs();
        std::map<std::string, int> attempts;
        int slowRuns = 0;
        int cancelled = 0;
        for (const auto& attempt : all) {
            ++attempts[attempt["request_id"].get<std::string>()];
            slowRuns += attempt["engine"] == 2 ? 1 : 0;
            cancelled += attempt["cancelled"] == true ? 1 : 0;
        }
        EXPECT_EQ(attempts.size(), static_cast<size_t>(count));
        EXPECT_LE(all.size() - count, static_cast<size_t>(count * 0.05));
        EXPECT_GE(all.size(), static_cast<size_t>(count + 1));
        EXPECT_GE(cancelled, 1);
        // With an equal share the slow target would get 25 + 50 requests.
        EXPECT_LT(slowRuns, 60);
    }

    // Guards against engines that continue to work for callers that have disconnected.
    TEST_F(RequestPath, CallerDisconnectCancelsRequest)
    {
        FleetSettings settings;
        settings.tokenMs = 10;
        startFleet(settings);
        EXPECT_FALSE(stream("left", 1000, 200).isDone);
        EXPECT_TRUE(m_fleet->waitUntil(
            [&] {
                const auto all = runs();
                return all.size() == 1 && all.front()["cancelled"] == true;
            },
            3000));
        EXPECT_LT(runs().front()["tokens"], 400);
    }

    // Guards against engine work for a caller that disconnected before the first token, when no token is written yet.
    TEST_F(RequestPath, CallerDisconnectBeforeFirstTokenCancelsRequest)
    {
        startFleet();
        setAllFaults({ { "slow_factor", 2000 } });
        {
            httplib::Client caller("http://" + m_fleet->callerAddress(0));
            caller.set_read_timeout(std::chrono::milliseconds(500));
            EXPECT_FALSE(caller.Post("/v1/completions", headers(), body("left", 10, true).dump(), "application/json"));
        }
        // The stand-in checks for cancellation between steps of work, so the cancel must arrive before the steps end.
        std::this_thread::sleep_for(std::chrono::milliseconds(3000));
        setAllFaults({ { "slow_factor", 1 } });
        EXPECT_TRUE(m_fleet->waitUntil(
            [&] {
                const auto all = runs();
                return all.size() == 1 && all.front()["cancelled"] == true;
            },
            3000));
        EXPECT_EQ(runs().front()["tokens"], 0);
    }

} // namespace
} // namespace cyclamenstair::testing

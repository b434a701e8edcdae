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

    constexpr uint32_t longAnswer = 300;

    /// Answer to a streamed completion as the caller sees it.
    struct Stream {
        int status { 0 };
        std::string text;
        bool isDone { false };
        bool isWhole { false }; ///< The connection ended with the last chunk, and every event was whole.
    };

    /// One node before three engines that all hold the same model, and two services.
    class RequestPath : public ::testing::Test {
    protected:
        void startFleet(FleetSettings settings = {})
        {
            settings.nodes = 1;
            m_fleet = std::make_unique<ProcessFleet>(settings);
            const auto replicas = std::to_string(settings.engines);
            const std::string sheet = "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,"
                                      "burst,token_hash,allowed\n"
                                      "model,draft,,4000,"
                + replicas
                + ",normal,,,,,,\nservice,bookings,,,,high,3000,no,,,,\nservice,roster,,,,normal,3000,yes,,,,\n"
                  "caller,board,,,,normal,10000,,,,"
                + hashToken(ProcessFleet::callerToken) + ",\n";
            ASSERT_EQ(m_fleet->acceptPlan(sheet), 0);
            ASSERT_TRUE(m_fleet->waitUntil(
                [&] {
                    size_t holders = 0;
                    for (size_t engine = 0; engine < m_fleet->engineCount(); ++engine)
                        holders += holdsModel(static_cast<int>(engine)) ? 1 : 0;
                    return holders == m_fleet->engineCount() && knownHolders() == holders;
                },
                20000));
            ASSERT_TRUE(m_fleet->waitUntilReachable("bookings", 0, 10000));
        }

        bool holdsModel(int engine) { return log(engine)["artifacts"] == Json::array({ "draft" }); }

        size_t knownHolders()
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

        /// Returns the engine that works on a request now, or -1.
        int busyEngine()
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

        httplib::Result whole(const std::string& prompt, uint32_t tokens)
        {
            return client().Post("/v1/completions", headers(), body(prompt, tokens, false).dump(), "application/json");
        }

        void expectWhole(const std::string& prompt, uint32_t tokens)
        {
            const auto answer = whole(prompt, tokens);
            ASSERT_TRUE(answer);
            ASSERT_EQ(answer->status, 200) << answer->body;
            EXPECT_EQ(answer->get_header_value("X-Outcome"), "complete");
            EXPECT_EQ(
                Json::parse(answer->body)["choices"][0]["text"], standin::expectedCompletion("draft", prompt, tokens));
        }

        /// Streams a completion; `stopAfter` bytes the caller goes away.
        Stream stream(const std::string& prompt, uint32_t tokens, size_t stopAfter = SIZE_MAX)
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
                return bytes.size() < stopAfter;
            };
            auto caller = client();
            const auto answer = caller.send(request);
            Stream result;
            result.isWhole = static_cast<bool>(answer);
            result.status = answer ? answer->status : 0;
            for (size_t end = bytes.find("\n\n"); end != std::string::npos; end = bytes.find("\n\n")) {
                const auto event = bytes.substr(0, end);
                bytes.erase(0, end + 2);
                if (event == "data: [DONE]")
                    result.isDone = true;
                else if (event.starts_with("data: ")) // Comments have no meaning for callers.
                    result.text += Json::parse(event.substr(6))["choices"][0]["text"].get<std::string>();
            }
            result.isWhole = result.isWhole && bytes.empty();
            return result;
        }

        void expectStream(const Stream& answer, const std::string& prompt, uint32_t tokens)
        {
            EXPECT_EQ(answer.status, 200);
            EXPECT_TRUE(answer.isDone);
            EXPECT_TRUE(answer.isWhole);
            EXPECT_EQ(answer.text, standin::expectedCompletion("draft", prompt, tokens));
        }

        std::unique_ptr<ProcessFleet> m_fleet;
    };

    // Guards against a stream with a gap or a repeat after its target broke it off, several times in a row.
    TEST_F(RequestPath, BrokenStreamIsResumed)
    {
        startFleet();
        setAllFaults({ { "break_streams", 2 } });
        for (const std::string prompt : { "one", "two", "three" })
            expectStream(stream(prompt, 40), prompt, 40);
        // The work that was delivered is not done again.
        uint64_t tokens = 0;
        for (const auto& run : runs())
            tokens += run["tokens"].get<uint64_t>();
        EXPECT_EQ(tokens, 120u);
    }

    // Guards against a stream that falls silent for ever while its target keeps the connection.
    TEST_F(RequestPath, StalledStreamIsResumed)
    {
        FleetSettings settings;
        settings.nodeSettings = { { "request.idle_timeout_ms", "400" } };
        startFleet(settings);
        setAllFaults({ { "stall_streams", 1 } });
        for (const std::string prompt : { "one", "two" })
            expectStream(stream(prompt, 30), prompt, 30);
    }

    // Guards against requests that are lost with their engine, or reported as unknown although they may be repeated.
    TEST_F(RequestPath, KilledEngineLosesNoRequest)
    {
        FleetSettings settings;
        settings.tokenMs = 5;
        startFleet(settings);
        std::thread caller([&] { expectStream(stream("streamed", longAnswer), "streamed", longAnswer); });
        std::thread other([&] { expectWhole("whole", longAnswer); });
        int engine = -1;
        EXPECT_TRUE(m_fleet->waitUntil([&] { return (engine = busyEngine()) >= 0; }, 5000));
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        if (engine >= 0) {
            m_fleet->engine(engine).sendSignal(SIGKILL);
            m_fleet->engine(engine).wait(5000);
        }
        caller.join();
        other.join();
        for (int i = 0; i < 6; ++i)
            expectWhole("after " + std::to_string(i), 4);
    }

    // Guards against an error of a target that reaches the caller although another target could answer.
    TEST_F(RequestPath, RefusalsAndErrorsAreRepeatedElsewhere)
    {
        startFleet();
        setFaults(0, { { "refuse", 1 } });
        setFaults(1, { { "fail_completions", 3 } });
        for (int i = 0; i < 9; ++i)
            expectWhole("prompt " + std::to_string(i), 4);
        EXPECT_TRUE(log(0)["runs"].empty());
    }

    // Guards against an answer of "not run" for work that ran, and against one of "unknown" for work that did not.
    TEST_F(RequestPath, RefusedByAllIsNotRun)
    {
        startFleet();
        setAllFaults({ { "refuse", 1 } });
        const auto answer = whole("refused", 4);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 503);
        EXPECT_EQ(answer->get_header_value("X-Outcome"), "not_run");
        EXPECT_TRUE(runs().empty());
    }

    // Guards against an invisible failure at the hard limit, and against "not run" after the work ran.
    TEST_F(RequestPath, LimitEndsTheConnectionWithoutAnAnswer)
    {
        FleetSettings settings;
        settings.nodeSettings = { { "request.repeat_limit_ms", "1500" } };
        startFleet(settings);
        setAllFaults({ { "fail_completions", 100000 }, { "break_streams", 100000 } });
        EXPECT_FALSE(whole("broken", 4));
        const auto answer = stream("broken", 40);
        EXPECT_FALSE(answer.isWhole);
        EXPECT_FALSE(answer.isDone);
        EXPECT_TRUE(standin::expectedCompletion("draft", "broken", 40).starts_with(answer.text));
    }

    // Guards against a second run of a call that may not be repeated, and against a wrong statement about the first.
    TEST_F(RequestPath, LostAnswerOfABookingIsUnknownAndNotRepeated)
    {
        FleetSettings settings;
        settings.services = 2;
        startFleet(settings);
        for (int service = 0; service < 2; ++service)
            ProcessFleet::setFaults(m_fleet->serviceAddress(service), { { "lose_service_answers", 1 } });
        auto withKey = headers();
        withKey.emplace("Idempotency-Key", "key-1");
        const auto answer = client().Post("/services/bookings/slots", withKey, "{}", "application/json");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 504);
        EXPECT_EQ(answer->get_header_value("X-Outcome"), "unknown");
        int count = 0;
        for (int service = 0; service < 2; ++service)
            count += ProcessFleet::fetchJson(m_fleet->serviceAddress(service), "/log")["runs_by_key"].value("key-1", 0);
        EXPECT_EQ(count, 1);
        // Reads may be repeated: the other service or the next attempt answers.
        const auto read = client().Get("/services/roster/rows", headers());
        ASSERT_TRUE(read);
        EXPECT_EQ(read->status, 200);
    }

    // Guards against a tail as slow as the slowest target, against hedges beyond their share, and against a cancel that
    // hits the attempt that answers.
    TEST_F(RequestPath, SlowTargetIsHedgedWithinTheBudget)
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
        // An equal share of the slow target is 25 + 50 requests.
        EXPECT_LT(slowRuns, 60);
    }

    // Guards against engines that work for callers who are gone.
    TEST_F(RequestPath, DisconnectCancelsTheWork)
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

    // Guards against engine work for a caller who left before the first token, when nothing is written to him.
    TEST_F(RequestPath, DisconnectBeforeTheFirstTokenCancelsTheWork)
    {
        startFleet();
        setAllFaults({ { "slow_factor", 2000 } });
        {
            httplib::Client caller("http://" + m_fleet->callerAddress(0));
            caller.set_read_timeout(std::chrono::milliseconds(500));
            EXPECT_FALSE(caller.Post("/v1/completions", headers(), body("left", 10, true).dump(), "application/json"));
        }
        // The stand-in looks for a cancel between its steps of work, so that the cancel must come before the steps end.
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

#include <Cyclamenstair/Core/Crypto.h>
#include <StandIns/EngineStandIn.h>
#include <Tests/Support/ProcessFleet.h>

#include <csignal>
#include <gtest/gtest.h>
#include <httplib.h>

namespace cyclamenstair::testing {
namespace {

    using Json = nlohmann::json;

    std::string samplePlanSheet()
    {
        return "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n"
               "model,draft,,4000,2,normal,,,,,,\n"
               "model,summary,,6000,1,normal,,,,,,\n"
               "adapter,rules,draft,100,1,normal,,,,,,\n"
               "service,bookings,,,,high,3000,no,,,,\n"
               "caller,board,,,,normal,10000,,,,"
            + hashToken(ProcessFleet::callerToken) + ",\n";
    }

    httplib::Headers callerHeaders()
    {
        return { { "Authorization", std::string("Bearer ") + ProcessFleet::callerToken } };
    }

    httplib::Result complete(const std::string& address, const Json& body)
    {
        httplib::Client client("http://" + address);
        client.set_read_timeout(std::chrono::seconds(10));
        return client.Post("/v1/completions", callerHeaders(), body.dump(), "application/json");
    }

    /// Returns the concatenated text of a stream's events; empty if the stream did not end with [DONE].
    std::string parseStreamedText(const std::string& events)
    {
        std::istringstream lines(events);
        std::string text;
        bool isDone = false;
        for (std::string line; std::getline(lines, line);) {
            if (line == "data: [DONE]")
                isDone = true;
            else if (line.starts_with("data: "))
                text += Json::parse(line.substr(6))["choices"][0]["text"].get<std::string>();
        }
        return isDone ? text : "";
    }

    /// Fixture with three nodes that can reach every artifact of the plan.
    class EndToEnd : public ::testing::Test {
    protected:
        void SetUp() override
        {
            ASSERT_EQ(m_fleet.acceptPlan(samplePlanSheet()), 0);
            for (int node = 0; node < 3; ++node) {
                for (const char* artifact : { "draft", "summary", "rules", "bookings" })
                    ASSERT_TRUE(m_fleet.waitUntilReachable(artifact, node, 20000)) << artifact << " at node " << node;
            }
        }

        ProcessFleet m_fleet { FleetSettings {} };
    };

    // Guards against lost or mixed-up responses of models, adapters and services through any of the nodes.
    TEST_F(EndToEnd, EveryNodeReturnsCompleteResponses)
    {
        for (int node = 0; node < 3; ++node) {
            for (const std::string model : { "draft", "summary", "rules" }) {
                const auto prompt = "question " + std::to_string(node);
                const auto completion = complete(
                    m_fleet.callerAddress(node), { { "model", model }, { "prompt", prompt }, { "max_tokens", 8 } });
                ASSERT_TRUE(completion);
                ASSERT_EQ(completion->status, 200) << completion->body;
                EXPECT_EQ(completion->get_header_value("X-Outcome"), "complete");
                EXPECT_EQ(
                    Json::parse(completion->body)["choices"][0]["text"], standin::expectedCompletion(model, prompt, 8));
                const auto stream = complete(m_fleet.callerAddress(node),
                    { { "model", model }, { "prompt", prompt }, { "max_tokens", 8 }, { "stream", true } });
                ASSERT_TRUE(stream);
                EXPECT_EQ(parseStreamedText(stream->body), standin::expectedCompletion(model, prompt, 8));
            }
            httplib::Client client("http://" + m_fleet.callerAddress(node));
            auto headers = callerHeaders();
            headers.emplace("Idempotency-Key", "key-" + std::to_string(node));
            const auto booking = client.Post("/services/bookings/slots", headers, "{}", "application/json");
            ASSERT_TRUE(booking);
            EXPECT_EQ(booking->status, 200) << booking->body;
        }
    }

    // Guards against invalid requests and plans that are accepted, or that end a node or change its plan.
    TEST_F(EndToEnd, InvalidInputIsRejectedWithoutSideEffects)
    {
        httplib::Client client("http://" + m_fleet.callerAddress(0));
        EXPECT_EQ(client.Post("/v1/completions", "{}", "application/json")->status, 401);
        EXPECT_EQ(client.Post("/v1/completions", callerHeaders(), "{", "application/json")->status, 400);
        EXPECT_EQ(
            client.Post("/v1/completions", callerHeaders(), "{\"model\":\"none\"}", "application/json")->status, 404);
        EXPECT_EQ(client.Post("/services/bookings/x", callerHeaders(), "{}", "application/json")->status, 400);
        EXPECT_EQ(
            client.Post("/v1/completions", callerHeaders(), std::string(2 << 20, 'x'), "application/json")->status,
            413);
        EXPECT_EQ(m_fleet.acceptPlan("kind,name\nmodel\n"), 1);
        EXPECT_EQ((*m_fleet.status(0))["plan_revision"], 1);
    }

    // Guards against metrics that miss outcomes reported to callers, and against a reload that is ignored or ends the
    // daemon.
    TEST_F(EndToEnd, MetricsCountOutcomesAndReloadAppliesNewOperatorToken)
    {
        httplib::Client client("http://" + m_fleet.callerAddress(0));
        ASSERT_EQ(complete(m_fleet.callerAddress(0), { { "model", "draft" }, { "prompt", "x" } })->status, 200);
        ASSERT_EQ(
            client.Post("/v1/completions", callerHeaders(), "{\"model\":\"none\"}", "application/json")->status, 404);
        const auto metrics = client.Get("/metrics")->body;
        EXPECT_NE(metrics.find("cyclamenstair_requests_total{outcome=\"complete\"} 1\n"), std::string::npos) << metrics;
        EXPECT_NE(metrics.find("cyclamenstair_refusals_total{reason=\"request.parse\"} 1\n"), std::string::npos)
            << metrics;
        EXPECT_NE(metrics.find("cyclamenstair_plan_revision 1\n"), std::string::npos) << metrics;

        m_fleet.changeSetting(0, "token_hash", hashToken("another-token"));
        m_fleet.node(0).sendSignal(SIGHUP);
        EXPECT_TRUE(m_fleet.waitUntil([&] { return !m_fleet.status(0); }, 5000));
        EXPECT_EQ(complete(m_fleet.callerAddress(0), { { "model", "draft" }, { "prompt", "y" } })->status, 200);
    }

    // Guards against a graceful stop that interrupts a running stream.
    TEST_F(EndToEnd, GracefulStopCompletesRunningStreams)
    {
        std::string text;
        std::thread streamCaller([&] {
            const auto stream = complete(m_fleet.callerAddress(1),
                { { "model", "draft" }, { "prompt", "long" }, { "max_tokens", 400 }, { "stream", true } });
            if (stream)
                text = parseStreamedText(stream->body);
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        m_fleet.node(1).sendSignal(SIGTERM);
        EXPECT_EQ(m_fleet.node(1).wait(20000), 0);
        streamCaller.join();
        EXPECT_EQ(text, standin::expectedCompletion("draft", "long", 400));
    }

} // namespace
} // namespace cyclamenstair::testing

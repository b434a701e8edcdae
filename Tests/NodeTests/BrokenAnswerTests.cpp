#include <Cyclamenstair/Core/Crypto.h>
#include <StandIns/ScriptedHttpServer.h>
#include <Tests/Support/ProcessFleet.h>
#include <Tests/Support/ResponseHeads.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <httplib.h>

namespace cyclamenstair::testing {
namespace {

    /// Heads that no caller may get: statuses outside 100 to 599, and field names that are no tokens.
    const std::vector<std::pair<std::string, std::vector<std::string>>> malformedHeads {
        { "HTTP/1.1 000 Unknown", {} },
        { "HTTP/1.1 099 Unknown", {} },
        { "HTTP/1.1 600 Unknown", {} },
        { "HTTP/1.1 200 OK", { "X Bad: 1" } },
        { "HTTP/1.1 200 OK", { "X\001Bad: 1" } },
        { "HTTP/1.1 200 OK", { "Content-Length : 1" } },
    };

    /// One node of mode Planned before a service that answers with scripted bytes.
    class BrokenAnswerProcesses : public ::testing::Test {
    protected:
        void startFleet(int soundServices)
        {
            FleetSettings settings;
            settings.nodes = 1;
            settings.engines = 0;
            settings.services = soundServices;
            m_fleet = std::make_unique<ProcessFleet>(settings);
            m_fleet->addServiceVm("service-scripted", m_service.address());
            const std::string planSheet
                = "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,"
                  "burst,token_hash,allowed\n"
                  "service,bookings,,,,high,3000,no,,,,\nservice,roster,,,,normal,3000,yes,,,,\n"
                  "caller,board,,,,normal,10000,,,,"
                + hashToken(ProcessFleet::callerToken) + ",\n";
            ASSERT_EQ(m_fleet->acceptPlan(planSheet), 0);
            ASSERT_TRUE(m_fleet->waitUntilReachable("bookings", 0, 10000));
            ASSERT_TRUE(m_fleet->waitUntil(
                [&] {
                    const auto status = m_fleet->status(0);
                    return status && (*status)["targets"].size() == static_cast<size_t>(soundServices) + 1;
                },
                10000));
        }

        void setAnswer(std::string answer)
        {
            std::lock_guard lock(m_mutex);
            m_answer = std::move(answer);
        }

        httplib::Result send(const std::string& method, const std::string& path, const std::string& key = {})
        {
            httplib::Client client("http://" + m_fleet->callerAddress(0));
            client.set_read_timeout(std::chrono::seconds(20));
            httplib::Request request;
            request.method = method;
            request.path = path;
            request.headers = { { "Authorization", std::string("Bearer ") + ProcessFleet::callerToken } };
            if (!key.empty())
                request.set_header("Idempotency-Key", key);
            return client.send(request);
        }

        int scriptedRuns(const std::string& key)
        {
            const auto requests = m_service.requests();
            return static_cast<int>(std::count_if(requests.begin(), requests.end(),
                [&](const auto& request) { return request.field("Idempotency-Key") == key; }));
        }

        std::mutex m_mutex;
        std::string m_answer { makeResponse("HTTP/1.1 200 OK", {}, "{}") };
        ScriptedHttpServer m_service { [this](const ScriptedRequest&) {
            std::lock_guard lock(m_mutex);
            return m_answer;
        } };
        std::unique_ptr<ProcessFleet> m_fleet;
    };

    // Guards against a malformed answer that a caller gets, and against a second run of work that must run once.
    TEST_F(BrokenAnswerProcesses, MalformedAnswerIsNotForwarded)
    {
        startFleet(0);
        int number = 0;
        for (const auto& [statusLine, fields] : malformedHeads) {
            setAnswer(makeResponse(statusLine, fields, "broken"));
            const auto key = "key-" + std::to_string(++number);
            const auto answer = send("POST", "/services/bookings/rows", key);
            ASSERT_TRUE(answer) << statusLine;
            EXPECT_EQ(answer->get_header_value("X-Outcome"), "unknown") << statusLine << " " << answer->status;
            EXPECT_GE(answer->status, 500) << statusLine;
            EXPECT_LE(answer->status, 599) << statusLine;
            EXPECT_EQ(answer->body.find("broken"), std::string::npos) << statusLine;
            EXPECT_EQ(scriptedRuns(key), 1) << statusLine;
        }
    }

    // Guards against reads that fail after a malformed answer although another target can serve them.
    TEST_F(BrokenAnswerProcesses, RepeatableRequestIsServedByAnotherTarget)
    {
        startFleet(1);
        for (const auto& [statusLine, fields] : malformedHeads) {
            setAnswer(makeResponse(statusLine, fields, "broken"));
            for (int i = 0; i < 4; ++i) {
                const auto answer = send("GET", "/services/roster/rows");
                ASSERT_TRUE(answer) << statusLine;
                EXPECT_EQ(answer->status, 200) << statusLine;
                EXPECT_EQ(answer->body.find("broken"), std::string::npos) << statusLine;
            }
        }
    }

    // Guards against the rejection of answers after an interim response of any code.
    TEST_F(BrokenAnswerProcesses, AnswerAfterInterimResponsesIsForwarded)
    {
        startFleet(0);
        int number = 0;
        for (const auto& interim : interimResponses) {
            setAnswer(interim + makeResponse("HTTP/1.1 200 ", {}, "sound"));
            const auto answer = send("POST", "/services/bookings/rows", "key-" + std::to_string(++number));
            ASSERT_TRUE(answer) << interim;
            EXPECT_EQ(answer->status, 200) << interim;
            EXPECT_EQ(answer->body, "sound") << interim;
        }
    }

    // Guards against an operator's tool that takes a malformed answer of a node for its result.
    TEST_F(BrokenAnswerProcesses, OperatorsToolRejectsMalformedAnswers)
    {
        startFleet(0);
        const std::string body = R"({"node":"n","plan_revision":1,"members":[],"targets":[]})";
        for (const auto& [statusLine, fields] : malformedHeads) {
            setAnswer(makeResponse(statusLine, fields, body));
            const auto [status, output] = m_fleet->runCtlAt(m_service.address(), { "status" });
            EXPECT_EQ(status, 3) << statusLine << output;
            EXPECT_NE(output.find("malformed"), std::string::npos) << output;
            EXPECT_EQ(output.find("level="), std::string::npos) << output;
        }
        setAnswer(interimResponses.back() + makeResponse("HTTP/1.1 200 ", { rareFieldLines.front() }, body));
        EXPECT_EQ(m_fleet->runCtlAt(m_service.address(), { "status" }).first, 0);
    }

} // namespace
} // namespace cyclamenstair::testing

#include <Cyclamenstair/Transport/EngineClient.h>
#include <Cyclamenstair/Transport/UpstreamAttempt.h>
#include <Cyclamenstair/Transport/VmListClient.h>
#include <StandIns/ScriptedHttpServer.h>
#include <Tests/Support/ResponseHeads.h>

#include <gtest/gtest.h>

namespace cyclamenstair {
namespace {

    constexpr auto callTimeout = milliseconds(2000);

    /// Status lines and first field lines of malformed heads.
    std::vector<std::pair<std::string, std::vector<std::string>>> malformedHeads()
    {
        std::vector<std::pair<std::string, std::vector<std::string>>> heads;
        for (const auto& line : invalidStatusLines)
            heads.emplace_back(line, std::vector<std::string> {});
        for (const auto& line : invalidFieldLines)
            heads.emplace_back("HTTP/1.1 200 OK", std::vector<std::string> { line });
        return heads;
    }

    /// Interim responses, status lines and fields that are rare but valid, each before the body.
    std::vector<std::string> rareResponses(const std::string& body)
    {
        std::vector<std::string> responses;
        for (const auto& interim : interimResponses)
            responses.push_back(interim + makeResponse("HTTP/1.1 200 OK", {}, body));
        for (const auto& line : rareStatusLines)
            responses.push_back(makeResponse(line, {}, body));
        for (const auto& line : rareFieldLines)
            responses.push_back(makeResponse("HTTP/1.1 200 OK", { line }, body));
        return responses;
    }

    /// Server that answers every request with the same bytes.
    class Server {
    public:
        explicit Server(std::string answer)
            : m_answer(std::move(answer))
            , m_server([this](const ScriptedRequest&) { return m_answer; })
        {
        }

        const std::string& address() const { return m_server.address(); }

    private:
        std::string m_answer;
        ScriptedHttpServer m_server;
    };

    /// Sends a request as an attempt and returns its events until it ends.
    std::vector<AttemptEvent> runAttempt(const std::string& address)
    {
        AttemptThreadPool threads;
        auto inbox = std::make_shared<AttemptInbox>();
        AttemptRequest request;
        request.address = address;
        request.path = "/work";
        request.body = "{}";
        request.idleTimeout = callTimeout;
        const auto attempt = UpstreamAttempt::start(threads, inbox, 1, request);
        std::vector<AttemptEvent> events;
        while (auto event = inbox->next(monotonicNow() + 2 * callTimeout)) {
            events.push_back(std::move(event->event));
            if (std::holds_alternative<AttemptEnd>(events.back())
                || std::holds_alternative<AttemptFailed>(events.back()))
                break;
        }
        return events;
    }

    // Guards against a malformed answer of a target that reaches the caller, and against one that counts as not run.
    TEST(BrokenAnswers, MalformedHeadFailsTheAttempt)
    {
        for (const auto& [statusLine, fields] : malformedHeads()) {
            Server server(makeResponse(statusLine, fields, "body"));
            const auto events = runAttempt(server.address());
            ASSERT_EQ(events.size(), 1U) << statusLine << fields.size();
            const auto* failure = std::get_if<AttemptFailed>(&events.front());
            ASSERT_TRUE(failure) << statusLine;
            EXPECT_TRUE(failure->mayHaveRun) << statusLine;
        }
    }

    // Guards against a message that does not say what was wrong, or that holds bytes of the answer as they are.
    TEST(BrokenAnswers, FailureSaysWhatWasWrong)
    {
        Server server(makeResponse("HTTP/1.1 200 OK", { "X Bad\x1b: secret" }, "body"));
        const auto events = runAttempt(server.address());
        ASSERT_EQ(events.size(), 1U);
        const auto* failure = std::get_if<AttemptFailed>(&events.front());
        ASSERT_TRUE(failure);
        EXPECT_NE(failure->message.find("X Bad\\x1b"), std::string::npos) << failure->message;
        EXPECT_EQ(failure->message.find("secret"), std::string::npos) << failure->message;
    }

    // Guards against the rejection of answers that are rare but valid, and of those after interim responses.
    TEST(BrokenAnswers, RareValidAnswersCompleteTheAttempt)
    {
        for (const auto& response : rareResponses("body")) {
            Server server(response);
            const auto events = runAttempt(server.address());
            ASSERT_EQ(events.size(), 3U) << response;
            const auto* head = std::get_if<AttemptHead>(events.data());
            ASSERT_TRUE(head) << response;
            EXPECT_EQ(head->status, 200) << response;
            const auto* data = std::get_if<AttemptData>(&events[1]);
            ASSERT_TRUE(data) << response;
            EXPECT_EQ(data->bytes, "body") << response;
            EXPECT_TRUE(std::holds_alternative<AttemptEnd>(events[2])) << response;
        }
    }

    // Guards against an order that counts as executed or refused, and a report or fencing token that is believed, after
    // a malformed answer.
    TEST(BrokenAnswers, MalformedHeadIsNoAnswerOfAnEngine)
    {
        for (const auto& [statusLine, fields] : malformedHeads()) {
            Server reports(makeResponse(statusLine, fields, "[]"));
            const EngineClient engine(reports.address());
            EXPECT_TRUE(std::holds_alternative<OrderOutcomeUnknown>(engine.order({}, callTimeout))) << statusLine;
            EXPECT_FALSE(engine.report(callTimeout)) << statusLine;
            EXPECT_FALSE(engine.raiseFencingToken(7, callTimeout)) << statusLine;
            Server probes(makeResponse(statusLine, fields, R"({"leaving":true})"));
            EXPECT_FALSE(EngineClient(probes.address()).isLeaving(callTimeout)) << statusLine;
        }
    }

    // Guards against the rejection of an engine's answers that are rare but valid.
    TEST(BrokenAnswers, RareValidAnswersOfAnEngineAreRead)
    {
        for (const auto& response : rareResponses("[]")) {
            Server reports(response);
            const EngineClient engine(reports.address());
            EXPECT_TRUE(std::holds_alternative<OrderExecuted>(engine.order({}, callTimeout))) << response;
            EXPECT_TRUE(engine.report(callTimeout)) << response;
            EXPECT_EQ(engine.raiseFencingToken(7, callTimeout), 7U) << response;
        }
        for (const auto& response : rareResponses(R"({"leaving":true})")) {
            Server probes(response);
            EXPECT_EQ(EngineClient(probes.address()).isLeaving(callTimeout), true) << response;
        }
    }

    // Guards against a VM list that is taken from a malformed answer, after which targets count as gone, and against
    // the rejection of a valid one.
    TEST(BrokenAnswers, VmListIsReadFromValidAnswersOnly)
    {
        for (const auto& [statusLine, fields] : malformedHeads()) {
            Server server(makeResponse(statusLine, fields, R"({"vms":[]})"));
            EXPECT_FALSE(VmListClient(server.address()).read(callTimeout)) << statusLine;
        }
        for (const auto& response : rareResponses(R"({"vms":[]})")) {
            Server server(response);
            EXPECT_TRUE(VmListClient(server.address()).read(callTimeout)) << response;
        }
    }

} // namespace
} // namespace cyclamenstair

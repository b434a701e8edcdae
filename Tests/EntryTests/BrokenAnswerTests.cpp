#include <Cyclamenstair/Telemetry/Log.h>
#include <StandIns/ScriptedHttpServer.h>
#include <Tests/EntryTests/EntryNodeFixture.h>
#include <Tests/Support/ResponseHeads.h>

#include <algorithm>

using namespace cyclamenstair;

namespace {

/// Node before a target that answers with scripted bytes, alone or beside a sound target.
class BrokenAnswerTest : public EntryNodeTest {
protected:
    BrokenAnswerTest() { store.remove("servers/" + firstTarget.id()); }

    void SetUp() override
    {
        EntryNodeTest::SetUp();
        store.put("servers/i-9",
            R"({"service":"plain","address":")" + target.address()
                + R"(","zone":"domain-1","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"models":[],"seq":1,"born":1})");
    }

    /// From now on the scripted target sends `statusLine` and `fields`, with the fields of a sound answer after them.
    void setHead(const std::string& statusLine, const std::vector<std::string>& fields, const std::string& interim = {})
    {
        std::lock_guard lock(m_mutex);
        m_statusLine = statusLine;
        m_fields = fields;
        m_interim = interim;
    }

    int scriptedRuns(const std::string& id)
    {
        const auto requests = target.requests();
        return static_cast<int>(std::count_if(requests.begin(), requests.end(),
            [&](const auto& request) { return request.field("Cyclamenstair-Request-Id") == id; }));
    }

    /// Expects that requests that run once fail without another attempt, and that safe ones and streams, which the
    /// sound target serves, succeed.
    void expectFailedAttempts(const std::string& name)
    {
        const auto once = request("/once/x", "once" + name);
        if (scriptedRuns("once" + name) > 0) {
            EXPECT_EQ(once.head.status, 502U) << name;
            EXPECT_EQ(runCount("once" + name), 0) << name;
        } else {
            EXPECT_EQ(once.head.status, 200U) << name;
        }
        const auto safe = request("/safe/x", "safe" + name);
        EXPECT_EQ(safe.head.status, 200U) << name;
        EXPECT_EQ(safe.body, "i-2:body") << name;
        const auto stream = request("/stream/x", "stream" + name);
        EXPECT_EQ(stream.head.status, 200U) << name;
        constexpr auto colonsOfFiveEvents = 10;
        EXPECT_EQ(std::count(stream.body.begin(), stream.body.end(), ':'), colonsOfFiveEvents) << name;
    }

    std::string respond(const ScriptedRequest& scriptedRequest)
    {
        std::lock_guard lock(m_mutex);
        auto fields = m_fields;
        fields.push_back("Cyclamenstair-Request-Id: " + scriptedRequest.field("Cyclamenstair-Request-Id"));
        fields.push_back("Cyclamenstair-Response-Stamp: receipt-i-9");
        return m_interim + makeResponse(m_statusLine, fields, "broken");
    }

    ScriptedHttpServer target { [this](const ScriptedRequest& request) { return respond(request); } };

private:
    std::mutex m_mutex;
    std::string m_statusLine { "HTTP/1.1 200 OK" };
    std::vector<std::string> m_fields;
    std::string m_interim;
};

} // namespace

// Guards against an answer whose status is outside 100 to 599 or malformed, and that the caller gets as an answer.
TEST_F(BrokenAnswerTest, InvalidStatusIsAFailedAttempt)
{
    const auto node = startNode();
    for (const std::string status : { "000", "099", "600" }) {
        setHead("HTTP/1.1 " + status + " Unknown", {});
        expectFailedAttempts("-" + status);
    }
}

// Guards against an answer whose field name is no token, and that the caller gets with that field or with a body that
// is delimited otherwise than the target meant.
TEST_F(BrokenAnswerTest, InvalidFieldNameIsAFailedAttempt)
{
    const auto node = startNode();
    const std::vector<std::string> fields { "X Bad: 1", "X\001Bad: 1", "Content-Length : 1" };
    for (size_t i = 0; i < fields.size(); ++i) {
        setHead("HTTP/1.1 200 OK", { fields[i] });
        expectFailedAttempts("-field-" + std::to_string(i));
    }
}

// Guards against a connection that is used again after a broken answer, whose bytes would be read as the next answer.
TEST_F(BrokenAnswerTest, ConnectionIsNotUsedAgain)
{
    store.remove("servers/" + secondTarget.id());
    const auto node = startNode();
    for (const auto& [statusLine, fields] : std::vector<std::pair<std::string, std::vector<std::string>>> {
             { "HTTP/1.1 000 Unknown", {} }, { "HTTP/1.1 200 OK", { "X Bad: 1" } } }) {
        for (int i = 0; i < 3; ++i) {
            setHead(statusLine, fields);
            EXPECT_EQ(request("/once/x", "r-" + std::to_string(i)).head.status, 502U) << statusLine;
            setHead("HTTP/1.1 200 OK", {});
            const auto before = target.connectionCount();
            EXPECT_EQ(request("/once/x", "s-" + std::to_string(i)).body, "broken") << statusLine;
            EXPECT_EQ(target.connectionCount(), before + 1) << statusLine;
        }
    }
}

// Guards against the rejection of answers that are rare but valid, and of those after interim responses of any code.
TEST_F(BrokenAnswerTest, RareValidAnswersAreForwarded)
{
    store.remove("servers/" + secondTarget.id());
    const auto node = startNode();
    int number = 0;
    const auto expectForwarded = [&](const std::string& name) {
        const auto answer = request("/once/x", "r-" + std::to_string(++number));
        EXPECT_EQ(answer.head.status, 200U) << name;
        EXPECT_EQ(answer.body, "broken") << name;
    };
    for (const auto& statusLine : rareStatusLines) {
        setHead(statusLine, {});
        expectForwarded(statusLine);
    }
    for (const auto& field : rareFieldLines) {
        setHead("HTTP/1.1 200 OK", { field });
        expectForwarded(field);
    }
    for (const auto& interim : interimResponses) {
        setHead("HTTP/1.1 200 OK", {}, interim);
        expectForwarded(interim);
    }
}

// Guards against a log from which the cause of a rejected answer cannot be read, and against bytes of the answer that
// reach the log as they are or without a bound.
TEST_F(BrokenAnswerTest, LogShowsWhatWasWrong)
{
    store.remove("servers/" + secondTarget.id());
    testing::internal::CaptureStdout();
    const auto node = startNode();
    setHead("HTTP/1.1 000 Unknown", {});
    (void)request("/once/x", "r-1");
    setHead("HTTP/1.1 200 OK", { "X Bad\x1b[31m: secret" });
    (void)request("/once/x", "r-2");
    setHead("HTTP/1.1 200 OK", { "X " + std::string(10000, 'b') + ": 1" });
    (void)request("/once/x", "r-3");
    flushLog(std::chrono::seconds(1));
    const auto log = testing::internal::GetCapturedStdout();
    const auto lineOf = [&](const std::string& id) {
        const auto start = log.find("event=attempt_failed request=" + id);
        return start == std::string::npos ? std::string() : log.substr(start, log.find('\n', start) - start);
    };
    EXPECT_NE(lineOf("r-1").find("000"), std::string::npos) << lineOf("r-1");
    EXPECT_NE(lineOf("r-2").find("X Bad"), std::string::npos) << lineOf("r-2");
    EXPECT_NE(lineOf("r-2").find("x1b[31m"), std::string::npos) << lineOf("r-2");
    EXPECT_EQ(log.find('\x1b'), std::string::npos);
    EXPECT_EQ(lineOf("r-2").find("secret"), std::string::npos) << lineOf("r-2");
    EXPECT_NE(lineOf("r-3").find("X bbb"), std::string::npos) << lineOf("r-3");
    EXPECT_LT(lineOf("r-3").size(), 500U);
    EXPECT_NE(log.find("event=response_malformed"), std::string::npos);
}

// Guards against the report of an engine whose status says that it has none, after which orders rest on its body. An
// engine with a valid report gets orders at once.
TEST_F(EntryNodeTest, ReportWithoutSuccessIsNotUsed)
{
    std::atomic<bool> hasReport { false };
    ScriptedHttpServer engine([&](const ScriptedRequest& scriptedRequest) {
        if (scriptedRequest.target == "/cyclamenstair/report")
            return makeResponse(hasReport ? "HTTP/1.1 200 OK" : "HTTP/1.1 500 Internal Server Error", {},
                R"({"models":[],"busy":false,"seq":0,"queued":0,"running":0,"born":1})");
        return makeResponse("HTTP/1.1 202 Accepted", {}, "");
    });
    const auto orderCount = [&] {
        const auto requests = engine.requests();
        return std::count_if(requests.begin(), requests.end(),
            [](const auto& scriptedRequest) { return scriptedRequest.target == "/cyclamenstair/order"; });
    };
    const auto reportCount = [&] {
        const auto requests = engine.requests();
        return std::count_if(requests.begin(), requests.end(),
            [](const auto& scriptedRequest) { return scriptedRequest.target == "/cyclamenstair/report"; });
    };
    store.put("servers/i-7",
        R"({"service":"drafting","address":")" + engine.address()
            + R"(","zone":"domain-1","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"models":[],"seq":1,"born":1})");
    const auto node = startNode();
    EXPECT_TRUE(eventually([&] { return reportCount() >= 12; }));
    EXPECT_EQ(orderCount(), 0);
    hasReport = true;
    EXPECT_TRUE(eventually([&] { return orderCount() > 0; }));
}

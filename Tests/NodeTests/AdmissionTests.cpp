#include <Cyclamenstair/Core/Crypto.h>
#include <Tests/Support/ProcessFleet.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <httplib.h>
#include <mutex>
#include <set>
#include <thread>

namespace cyclamenstair::testing {
namespace {

    using Json = nlohmann::json;
    using Clock = std::chrono::steady_clock;

    std::string admissionSheet()
    {
        return "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n"
               "model,draft,,4000,1,normal,,,,,,\n"
               "caller,crowd,,,,normal,3000,,,,"
            + hashToken("crowd-token") + ",\ncaller,other,,,,normal,3000,,,," + hashToken("other-token")
            + ",\ncaller,limited,,,,normal,3000,,2,4," + hashToken("limited-token") + ",\n";
    }

    FleetSettings oneSmallEngine()
    {
        FleetSettings settings;
        settings.nodes = 1;
        settings.engines = 1;
        settings.services = 0;
        settings.slots = 2;
        settings.tokenMs = 8;
        return settings;
    }

    /// What a caller hears about a completion.
    struct Reply {
        int status { 0 };
        std::string outcome;
        std::string requestId;
        bool hasRetryAfter { false };
        Clock::duration time {};
    };

    class Admission : public ::testing::Test {
    protected:
        void SetUp() override
        {
            ASSERT_EQ(m_fleet.acceptPlan(admissionSheet()), 0);
            ASSERT_TRUE(m_fleet.waitUntilReachable("draft", 0, 20000));
        }

        Reply complete(const std::string& token, bool isStream = false)
        {
            httplib::Client client("http://" + m_fleet.callerAddress(0));
            client.set_read_timeout(std::chrono::seconds(15));
            const Json body { { "model", "draft" }, { "prompt", "p" }, { "max_tokens", 20 }, { "stream", isStream } };
            const auto start = Clock::now();
            const auto response = client.Post("/v1/completions",
                httplib::Headers { { "Authorization", "Bearer " + token } }, body.dump(), "application/json");
            if (!response)
                return {};
            return { response->status, response->get_header_value("X-Outcome"),
                response->get_header_value("X-Request-Id"), response->has_header("Retry-After"), Clock::now() - start };
        }

        ProcessFleet m_fleet { oneSmallEngine() };
    };

    // Guards against overload that makes all requests late: what cannot be answered in time is refused early, was not
    // sent to the engine, and a second caller is served meanwhile.
    TEST_F(Admission, OverloadIsRefusedEarlyAndOtherCallersAreServed)
    {
        for (int i = 0; i < 3; ++i)
            ASSERT_EQ(complete("crowd-token").status, 200);

        std::mutex mutex;
        std::vector<Reply> replies;
        const auto end = Clock::now() + std::chrono::seconds(5);
        std::vector<std::thread> crowd;
        for (int i = 0; i < 64; ++i) {
            crowd.emplace_back([&, i] {
                while (Clock::now() < end) {
                    const auto reply = complete("crowd-token", i % 2 == 0);
                    {
                        std::lock_guard lock(mutex);
                        replies.push_back(reply);
                    }
                    if (reply.status != 200)
                        std::this_thread::sleep_for(std::chrono::milliseconds(100));
                }
            });
        }
        std::this_thread::sleep_for(std::chrono::seconds(1));
        std::vector<Reply> others;
        for (int i = 0; i < 5; ++i)
            others.push_back(complete("other-token"));
        for (auto& caller : crowd)
            caller.join();

        for (const auto& reply : others)
            EXPECT_EQ(reply.status, 200);
        std::set<std::string> sent;
        for (const auto& run : ProcessFleet::fetchJson(m_fleet.engineAddress(0), "/log")["runs"])
            sent.insert(run["request_id"].get<std::string>());
        std::vector<Clock::duration> served;
        std::vector<Clock::duration> refused;
        for (const auto& reply : replies) {
            if (reply.status == 200) {
                served.push_back(reply.time);
                EXPECT_EQ(reply.outcome, "complete");
                continue;
            }
            refused.push_back(reply.time);
            EXPECT_EQ(reply.status, 503);
            EXPECT_EQ(reply.outcome, "not_run");
            EXPECT_TRUE(reply.hasRetryAfter);
            EXPECT_FALSE(sent.contains(reply.requestId));
        }
        ASSERT_FALSE(served.empty());
        ASSERT_FALSE(refused.empty());
        std::sort(served.begin(), served.end());
        std::sort(refused.begin(), refused.end());
        EXPECT_LT(refused[refused.size() / 2], served[served.size() / 2]);
        std::cout << served.size() << " served, " << refused.size() << " refused\n";
    }

    // Guards against a caller that exceeds the plan's rate, and against a limit that also slows other callers.
    TEST_F(Admission, CallerLimitIsKept)
    {
        int passed = 0;
        for (int i = 0; i < 30; ++i) {
            const auto reply = complete("limited-token");
            if (reply.status == 200) {
                ++passed;
                continue;
            }
            EXPECT_EQ(reply.status, 429);
            EXPECT_EQ(reply.outcome, "not_run");
            EXPECT_TRUE(reply.hasRetryAfter);
        }
        EXPECT_GE(passed, 4);
        EXPECT_LT(passed, 30);
        EXPECT_EQ(complete("other-token").status, 200);
    }

} // namespace
} // namespace cyclamenstair::testing

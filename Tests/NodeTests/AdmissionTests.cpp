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

    std::string admissionPlanSheet()
    {
        return "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n"
               "model,draft,,4000,1,normal,,,,,,\n"
               "caller,crowd,,,,normal,3000,,,,"
            + hashToken("crowd-token") + ",\ncaller,other,,,,normal,3000,,,," + hashToken("other-token")
            + ",\ncaller,limited,,,,normal,3000,,2,4," + hashToken("limited-token") + ",\n";
    }

    FleetSettings singleEngineSettings()
    {
        FleetSettings settings;
        settings.nodes = 1;
        settings.engines = 1;
        settings.services = 0;
        settings.slots = 2;
        settings.tokenMs = 8;
        return settings;
    }

    /// Result of a completion as the caller receives it.
    struct CompletionResult {
        int status { 0 };
        std::string outcome;
        std::string requestId;
        bool hasRetryAfter { false };
        Clock::duration latency {};
    };

    class Admission : public ::testing::Test {
    protected:
        void SetUp() override
        {
            ASSERT_EQ(m_fleet.acceptPlan(admissionPlanSheet()), 0);
            ASSERT_TRUE(m_fleet.waitUntilReachable("draft", 0, 20000));
        }

        CompletionResult complete(const std::string& token, bool isStream = false)
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

        ProcessFleet m_fleet { singleEngineSettings() };
    };

    // Guards against overload that makes all requests late. Requests that cannot be completed in time must be refused
    // early and without reaching the engine, while a second caller is still served.
    TEST_F(Admission, OverloadIsRefusedEarlyAndOtherCallersAreServed)
    {
        for (int i = 0; i < 3; ++i)
            ASSERT_EQ(complete("crowd-token").status, 200);

        std::mutex mutex;
        std::vector<CompletionResult> replies;
        const auto loadEndsAt = Clock::now() + std::chrono::seconds(5);
        std::vector<std::thread> heavyCallerThreads;
        for (int i = 0; i < 64; ++i) {
            heavyCallerThreads.emplace_back([&, i] {
                while (Clock::now() < loadEndsAt) {
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
        std::vector<CompletionResult> otherCallerReplies;
        for (int i = 0; i < 5; ++i)
            otherCallerReplies.push_back(complete("other-token"));
        for (auto& caller : heavyCallerThreads)
            caller.join();

        for (const auto& reply : otherCallerReplies)
            EXPECT_EQ(reply.status, 200);
        std::set<std::string> engineRequestIds;
        for (const auto& run : ProcessFleet::fetchJson(m_fleet.engineAddress(0), "/log")["runs"])
            engineRequestIds.insert(run["request_id"].get<std::string>());
        std::vector<Clock::duration> servedDurations;
        std::vector<Clock::duration> refusedDurations;
        for (const auto& reply : replies) {
            if (reply.status == 200) {
                servedDurations.push_back(reply.latency);
                EXPECT_EQ(reply.outcome, "complete");
                continue;
            }
            refusedDurations.push_back(reply.latency);
            EXPECT_EQ(reply.status, 503);
            EXPECT_EQ(reply.outcome, "not_run");
            EXPECT_TRUE(reply.hasRetryAfter);
            EXPECT_FALSE(engineRequestIds.contains(reply.requestId));
        }
        ASSERT_FALSE(servedDurations.empty());
        ASSERT_FALSE(refusedDurations.empty());
        std::sort(servedDurations.begin(), servedDurations.end());
        std::sort(refusedDurations.begin(), refusedDurations.end());
        EXPECT_LT(refusedDurations[refusedDurations.size() / 2], servedDurations[servedDurations.size() / 2]);
        std::cout << servedDurations.size() << " served, " << refusedDurations.size() << " refused\n";
    }

    // Guards against a caller that exceeds its rate in the plan, and against a limit that also affects other callers.
    TEST_F(Admission, CallerRateLimitIsEnforced)
    {
        int servedCount = 0;
        for (int i = 0; i < 30; ++i) {
            const auto reply = complete("limited-token");
            if (reply.status == 200) {
                ++servedCount;
                continue;
            }
            EXPECT_EQ(reply.status, 429);
            EXPECT_EQ(reply.outcome, "not_run");
            EXPECT_TRUE(reply.hasRetryAfter);
        }
        EXPECT_GE(servedCount, 4);
        EXPECT_LT(servedCount, 30);
        EXPECT_EQ(complete("other-token").status, 200);
    }

} // namespace
} // namespace cyclamenstair::testing

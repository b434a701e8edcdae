#include <Cyclamenstair/Core/Crypto.h>
#include <Tests/Support/ProcessFleet.h>

#include <csignal>
#include <gtest/gtest.h>
#include <httplib.h>
#include <set>
#include <thread>

namespace cyclamenstair::testing {
namespace {

    using Json = nlohmann::json;

    std::string bookingPlanSheet()
    {
        return "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n"
               "service,bookings,,,,high,4000,no,,,,\n"
               "caller,board,,,,normal,4000,,,,"
            + hashToken(ProcessFleet::callerToken) + ",\n";
    }

    FleetSettings twoNodeSettings()
    {
        FleetSettings settings;
        settings.nodes = 2;
        settings.engines = 0;
        return settings;
    }

    /// Result of a booking as the caller receives it.
    struct BookingResult {
        int status { 0 };
        std::string outcome;
        std::string body;
        std::string requestId;
        bool hasRetryAfter { false };
    };

    class Booking : public ::testing::Test {
    protected:
        void SetUp() override
        {
            ASSERT_EQ(m_fleet.acceptPlan(bookingPlanSheet()), 0);
            for (int node = 0; node < 2; ++node) {
                ASSERT_TRUE(m_fleet.waitUntilReachable("bookings", node, 20000));
                ASSERT_TRUE(m_fleet.waitUntil([&] { return listsBothMembers(node); }, 10000));
            }
        }

        bool listsBothMembers(int node)
        {
            const auto status = m_fleet.status(node);
            return status && (*status)["members"].size() == 2U;
        }

        BookingResult book(int node, const std::string& key, const std::string& body = "{}") const
        {
            httplib::Client client("http://" + m_fleet.callerAddress(node));
            client.set_read_timeout(std::chrono::seconds(15));
            const httplib::Headers headers { { "Authorization", std::string("Bearer ") + ProcessFleet::callerToken },
                { "Idempotency-Key", key } };
            const auto response = client.Post("/services/bookings/slots", headers, body, "application/json");
            if (!response)
                return {};
            return { response->status, response->get_header_value("X-Outcome"), response->body,
                response->get_header_value("X-Request-Id"), response->has_header("Retry-After") };
        }

        Json serviceLog() { return ProcessFleet::fetchJson(m_fleet.serviceAddress(0), "/log"); }
        int runCount(const std::string& key) { return serviceLog()["runs_by_key"].value(key, 0); }

        void expectNotInServiceLog(const BookingResult& reply)
        {
            const auto ids = serviceLog()["request_ids"].get<std::set<std::string>>();
            EXPECT_FALSE(ids.contains(reply.requestId));
        }

        ProcessFleet m_fleet { twoNodeSettings() };
    };

    // Guards against a booking that runs again when it is retried through another node or sent concurrently.
    TEST_F(Booking, RetriesThroughTwoNodesRunOnce)
    {
        const auto first = book(0, "k1");
        EXPECT_EQ(first.status, 200) << first.body;
        EXPECT_EQ(first.outcome, "complete");
        EXPECT_EQ(book(1, "k1").body, first.body);
        EXPECT_EQ(book(0, "k1").body, first.body);
        EXPECT_EQ(runCount("k1"), 1);

        const auto other = book(1, "k1", "{\"slot\":2}");
        EXPECT_EQ(other.status, 422);
        EXPECT_EQ(other.outcome, "not_run");
        expectNotInServiceLog(other);

        ProcessFleet::setFaults(m_fleet.serviceAddress(0), { { "work_ms", 300 } });
        std::vector<BookingResult> replies(6);
        std::vector<std::thread> callers;
        for (int i = 0; i < 6; ++i)
            callers.emplace_back([&, i] { replies[static_cast<size_t>(i)] = book(i % 2, "k2"); });
        for (auto& caller : callers)
            caller.join();
        for (const auto& reply : replies) {
            EXPECT_EQ(reply.status, 200) << reply.body;
            EXPECT_EQ(reply.body, replies.front().body);
        }
        EXPECT_EQ(runCount("k2"), 1);
    }

    // Guards against a claim that is lost or written twice because the store's response to its write was lost.
    TEST_F(Booking, LostStoreResponsesAreResolved)
    {
        for (int lost = 1; lost <= 3; ++lost) {
            const auto key = "lost-" + std::to_string(lost);
            ProcessFleet::setFaults(m_fleet.storeAddress(), { { "lose_write_answers", lost } });
            const auto first = book(0, key);
            ProcessFleet::setFaults(m_fleet.storeAddress(), { { "lose_write_answers", 0 } });
            EXPECT_EQ(first.status, 200) << first.body;
            EXPECT_EQ(book(1, key).body, first.body);
            EXPECT_EQ(runCount(key), 1);
        }
    }

    // Guards against bookings that run without a claim, and against "not run" for requests that reached the service.
    TEST_F(Booking, StoreOutageIsReportedAsNotRun)
    {
        const auto first = book(0, "before");
        ASSERT_EQ(first.status, 200);
        ProcessFleet::setFaults(m_fleet.storeAddress(), { { "down", 1 } });
        const auto refused = book(0, "during");
        EXPECT_EQ(refused.status, 503) << refused.body;
        EXPECT_EQ(refused.outcome, "not_run");
        EXPECT_TRUE(refused.hasRetryAfter);
        EXPECT_EQ(Json::parse(refused.body)["error"]["outcome"], "not_run");
        expectNotInServiceLog(refused);
        EXPECT_EQ(book(0, "before").body, first.body);

        ProcessFleet::setFaults(m_fleet.storeAddress(), { { "down", 0 } });
        BookingResult retryResult;
        EXPECT_TRUE(m_fleet.waitUntil(
            [&] {
                retryResult = book(1, "during");
                return retryResult.status == 200;
            },
            10000));
        EXPECT_EQ(book(0, "during").body, retryResult.body);
        EXPECT_EQ(runCount("during"), 1);
        EXPECT_EQ(runCount("before"), 1);
    }

    // Guards against a claim that is never released because its write took effect after the caller received "not run".
    TEST_F(Booking, DelayedClaimIsReleased)
    {
        ASSERT_EQ(book(0, "earlier").status, 200); // Gives the node a lease, so that the claim is sent.
        // Longer than the node's timeout for the store.
        ProcessFleet::setFaults(m_fleet.storeAddress(), { { "delay_ms", 1200 } });
        const auto refused = book(0, "late");
        EXPECT_EQ(refused.outcome, "not_run") << refused.body;
        EXPECT_TRUE(refused.hasRetryAfter);
        expectNotInServiceLog(refused);
        ProcessFleet::setFaults(m_fleet.storeAddress(), { { "delay_ms", 0 } });
        BookingResult retryResult;
        EXPECT_TRUE(m_fleet.waitUntil(
            [&] {
                retryResult = book(1, "late");
                return retryResult.status == 200;
            },
            10000));
        EXPECT_EQ(book(0, "late").body, retryResult.body);
        EXPECT_EQ(runCount("late"), 1);
        expectNotInServiceLog(refused);
    }

    // Guards against a response that is lost because the store became unavailable while the request ran.
    TEST_F(Booking, ResponseIsStoredAfterStoreOutage)
    {
        ProcessFleet::setFaults(m_fleet.serviceAddress(0), { { "work_ms", 500 } });
        BookingResult first;
        std::thread caller([&] { first = book(0, "outage"); });
        EXPECT_TRUE(m_fleet.waitUntil([&] { return runCount("outage") == 1; }, 5000));
        ProcessFleet::setFaults(m_fleet.storeAddress(), { { "down", 1 } });
        caller.join();
        EXPECT_EQ(first.status, 200) << first.body;
        ProcessFleet::setFaults(m_fleet.storeAddress(), { { "down", 0 } });
        EXPECT_EQ(book(1, "outage").body, first.body);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        m_fleet.killNode(0);
        EXPECT_EQ(book(1, "outage").body, first.body);
        EXPECT_EQ(runCount("outage"), 1);
    }

    // Guards against a second run after the node that holds the claim was killed while the service ran the request.
    TEST_F(Booking, KilledClaimNodeLeavesCallUnknown)
    {
        ProcessFleet::setFaults(m_fleet.serviceAddress(0), { { "work_ms", 1500 } });
        std::thread caller([&] { book(0, "killed"); });
        EXPECT_TRUE(m_fleet.waitUntil([&] { return runCount("killed") == 1; }, 5000));
        m_fleet.killNode(0);
        caller.join();
        for (int retry = 0; retry < 2; ++retry) {
            const auto reply = book(1, "killed");
            EXPECT_EQ(reply.status, 504) << reply.body;
            EXPECT_EQ(reply.outcome, "unknown");
        }
        EXPECT_EQ(runCount("killed"), 1);
    }

    // Guards against taking over the claim of a paused node, which may still send the request.
    TEST_F(Booking, PausedNodeKeepsItsClaim)
    {
        ProcessFleet::setFaults(m_fleet.serviceAddress(0), { { "work_ms", 500 } });
        BookingResult first;
        std::thread caller([&] { first = book(0, "paused"); });
        EXPECT_TRUE(m_fleet.waitUntil([&] { return runCount("paused") == 1; }, 5000));
        m_fleet.node(0).sendSignal(SIGSTOP);
        const auto during = book(1, "paused");
        EXPECT_EQ(during.outcome, "unknown") << during.body;
        m_fleet.node(0).sendSignal(SIGCONT);
        caller.join();
        EXPECT_EQ(first.status, 200) << first.body;
        EXPECT_EQ(book(1, "paused").body, first.body);
        EXPECT_EQ(runCount("paused"), 1);
    }

    // Guards against a retry that runs a request again after its response was lost.
    TEST_F(Booking, LostServiceResponseIsUnknown)
    {
        ProcessFleet::setFaults(m_fleet.serviceAddress(0), { { "lose_service_answers", 1 } });
        for (const int node : { 0, 1, 0 }) {
            const auto reply = book(node, "lost");
            EXPECT_EQ(reply.status, 504) << reply.body;
            EXPECT_EQ(reply.outcome, "unknown");
        }
        EXPECT_EQ(runCount("lost"), 1);
    }

} // namespace
} // namespace cyclamenstair::testing

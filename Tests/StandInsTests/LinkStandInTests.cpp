#include <Cyclamenstair/Core/Base64.h>
#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Http/HttpClient.h>

#include <StandIns/LinkStandIn.h>
#include <StandIns/RegisteredTargetStandIn.h>
#include <StandIns/RegistryStoreStandIn.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <future>

namespace cyclamenstair {
namespace {

    constexpr auto longTimeout = std::chrono::seconds(10);
    constexpr auto shortTimeout = milliseconds(300);

    /// A client with a kept connection through a link to a target, and one without.
    class LinkStandInTest : public testing::Test {
    protected:
        void SetUp() override
        {
            loop.start();
            ASSERT_EQ(status(call(keptClient, "first", longTimeout)), 200U);
        }
        void TearDown() override { loop.stop(); }

        /// Returns a client without connections.
        HttpClient& addClient() { return clients.emplace_back(loop.context(), settings); }

        HttpOutcome call(HttpClient& client, const std::string& id, Duration timeout)
        {
            return call(client, link, id, timeout);
        }

        /// Calls on a new connection through the link.
        HttpOutcome callThrough(const LinkStandIn& other, const std::string& id, Duration timeout)
        {
            return call(addClient(), other, id, timeout);
        }

        HttpOutcome call(HttpClient& client, const LinkStandIn& path, const std::string& id, Duration timeout)
        {
            std::promise<HttpOutcome> promise;
            loop.post([&] {
                client.call(parseEndpoint(path.address()).value(),
                    { "POST", "/x", { { "Host", "h" }, { "Cyclamenstair-Request-Id", id } }, id, true }, timeout,
                    [&](HttpOutcome outcome) { promise.set_value(std::move(outcome)); });
            });
            return promise.get_future().get();
        }

        static uint32_t status(const HttpOutcome& outcome)
        {
            const auto* response = std::get_if<HttpResponse>(&outcome);
            return response ? response->head.status : 0;
        }

        static ErrorKind failure(const HttpOutcome& outcome) { return std::get<CallFailed>(outcome).error.kind; }

        bool eventuallyRuns(const std::string& id)
        {
            const auto end = std::chrono::steady_clock::now() + longTimeout;
            while (target.runCount(id) == 0 && std::chrono::steady_clock::now() < end)
                std::this_thread::sleep_for(milliseconds(5));
            return target.runCount(id) == 1;
        }

        const ClientConnectionSettings settings { .connectTimeout = shortTimeout };
        RegisteredTargetStandIn target { "i-1", "plain" };
        LinkStandIn link { target.address() };
        EventLoop loop;
        HttpClient keptClient { loop.context(), settings };
        std::deque<HttpClient> clients; ///< Destroyed after the loop has stopped.
    };

    // Guards against a hang in which the system still completes connections for the link, so that only answers hang.
    TEST_F(LinkStandInTest, HangLeavesConnectionAttemptsWithoutReply)
    {
        link.setMode(LinkMode::Hang);
        for (int i = 0; i < 3; ++i) {
            const auto outcome = call(addClient(), "new-" + std::to_string(i), longTimeout);
            EXPECT_EQ(std::get<CallFailed>(outcome).error.message, "connection attempt timed out");
            EXPECT_FALSE(std::get<CallFailed>(outcome).wasSent);
        }
        link.setMode(LinkMode::Pass);
        EXPECT_EQ(status(call(addClient(), "healed", longTimeout)), 200U);
        EXPECT_EQ(target.runCount("new-0"), 0);
    }

    // Guards against a link that loses the bytes of open connections, which TCP delivers after a cut.
    TEST_F(LinkStandInTest, HangHoldsTheBytesOfOpenConnections)
    {
        link.setMode(LinkMode::Hang);
        const auto outcome = call(keptClient, "held", shortTimeout);
        EXPECT_EQ(failure(outcome), ErrorKind::Timeout);
        EXPECT_TRUE(std::get<CallFailed>(outcome).wasSent);
        EXPECT_EQ(target.runCount("held"), 0);
        link.setMode(LinkMode::Pass);
        EXPECT_TRUE(eventuallyRuns("held"));
    }

    // Guards against requests that reach a target after the node's system would have dropped them.
    TEST_F(LinkStandInTest, HangDropsBytesOfConnectionsGivenUp)
    {
        link.setMode(LinkMode::Hang);
        EXPECT_EQ(failure(call(keptClient, "dropped", shortTimeout)), ErrorKind::Timeout);
        std::this_thread::sleep_for(LinkStandIn::maxHeldTime);
        link.setMode(LinkMode::Pass);
        EXPECT_EQ(status(call(addClient(), "healed", longTimeout)), 200U);
        EXPECT_EQ(target.runCount("dropped"), 0);
    }

    // Guards against a reset that leaves connections open or accepts new ones.
    TEST_F(LinkStandInTest, ResetEndsConnectionsAndRefusesNewOnes)
    {
        target.setBehaviour(TargetBehaviour::NoResponse);
        auto running = std::async(std::launch::async, [&] { return call(keptClient, "running", longTimeout); });
        ASSERT_TRUE(eventuallyRuns("running"));
        target.setBehaviour(TargetBehaviour::Respond);
        link.setMode(LinkMode::Reset);
        EXPECT_NE(failure(running.get()), ErrorKind::Timeout);
        const auto outcome = call(addClient(), "new", longTimeout);
        EXPECT_NE(failure(outcome), ErrorKind::Timeout);
        EXPECT_FALSE(std::get<CallFailed>(outcome).wasSent);
        link.setMode(LinkMode::Pass);
        EXPECT_EQ(status(call(addClient(), "healed", longTimeout)), 200U);
    }

    // Guards against open connections that end when new ones are refused.
    TEST_F(LinkStandInTest, RefuseLeavesOpenConnections)
    {
        link.setMode(LinkMode::Refuse);
        EXPECT_EQ(status(call(keptClient, "kept", longTimeout)), 200U);
        const auto outcome = call(addClient(), "new", longTimeout);
        EXPECT_NE(failure(outcome), ErrorKind::Timeout);
        EXPECT_FALSE(std::get<CallFailed>(outcome).wasSent);
        EXPECT_EQ(status(call(keptClient, "again", longTimeout)), 200U);
    }

    // Guards against a mode that leaves something of an earlier one behind.
    TEST_F(LinkStandInTest, ModesFollowEachOther)
    {
        for (const auto& from : EnumNames<LinkMode>::table) {
            for (const auto& to : EnumNames<LinkMode>::table) {
                link.setMode(from.value);
                link.setMode(to.value);
                auto& client = addClient();
                EXPECT_EQ(status(call(client, "cut", shortTimeout)), to.value == LinkMode::Pass ? 200U : 0U)
                    << from.name << " " << to.name;
                link.setMode(LinkMode::Pass);
                EXPECT_EQ(status(call(client, "healed", longTimeout)), 200U) << from.name << " " << to.name;
            }
        }
    }

    // Guards against links on one loop of which a cut stops the others as well.
    TEST_F(LinkStandInTest, LinksOfOneLoopAreCutOneByOne)
    {
        EventLoop sharedLoop;
        LinkStandIn cutLink(target.address(), sharedLoop);
        LinkStandIn otherLink(target.address(), sharedLoop);
        sharedLoop.start();
        for (const auto& mode : EnumNames<LinkMode>::table) {
            cutLink.setMode(mode.value);
            EXPECT_EQ(status(callThrough(cutLink, "cut", shortTimeout)), mode.value == LinkMode::Pass ? 200U : 0U)
                << mode.name;
            EXPECT_EQ(status(callThrough(otherLink, "other", longTimeout)), 200U) << mode.name;
        }
        sharedLoop.stop();
    }

    // Guards against a node that sees the targets' own addresses, in a range or a watch, and so bypasses its links.
    TEST_F(LinkStandInTest, StoreViewShowsTheLink)
    {
        RegistryStoreStandIn store;
        const auto view = store.addView({ { target.address(), link.address() } });
        store.put("servers/i-1", target.entry());
        const auto body = [&](const std::string& path) {
            std::promise<HttpOutcome> promise;
            loop.post([&] {
                addClient().call(parseEndpoint(view).value(), { "GET", path, { { "Host", "h" } }, {}, false },
                    longTimeout, [&](HttpOutcome outcome) { promise.set_value(std::move(outcome)); });
            });
            return std::get<HttpResponse>(promise.get_future().get()).body;
        };
        const auto addressIn = [](const nlohmann::json& item) {
            return nlohmann::json::parse(decodeBase64(item.at(0).at("value").get<std::string>())).at("address");
        };
        const auto range = nlohmann::json::parse(body("/cyclamenstair/kv-range?path_prefix=servers/"));
        EXPECT_EQ(addressIn(range.at("items")), link.address());
        const auto watch
            = nlohmann::json::parse(body("/cyclamenstair/kv-watch?path_prefix=servers/&after=1&wait_ms=1000"));
        EXPECT_EQ(addressIn(watch.at("events")), link.address());
        EXPECT_EQ(store.value("servers/i-1"), target.entry());
    }

} // namespace
} // namespace cyclamenstair

#include "EntryNodeFixture.h"

#include <Cyclamenstair/Entry/OrderLeaseElector.h>

using namespace cyclamenstair;

namespace {

/// A competitor for the order lease, with its own connection to the store.
struct Competitor {
    Competitor(EventLoop& loop, const std::string& storeAddress, const std::string& id,
        const OrderLeaseSettings& settings = {})
        : store(loop.context(), parseEndpoint(storeAddress).value(), storeAddress, {})
        , elector(loop.context(), store, id, settings, 1)
    {
    }

    PlatformStore store;
    OrderLeaseElector elector;
};

class OrderLeaseElectorTest : public testing::Test {
protected:
    OrderLeaseElectorTest() { loop.start(); }
    ~OrderLeaseElectorTest() override { loop.stop(); }

    template <typename Function> auto onLoop(Function function)
    {
        std::promise<decltype(function())> result;
        loop.post([&] { result.set_value(function()); });
        return result.get_future().get();
    }

    /// Lets the competitor see that the lease is free, and returns its fencing token.
    int64_t acquire(Competitor& competitor)
    {
        const auto end = std::chrono::steady_clock::now() + waitTimeout;
        (void)onLoop([&] {
            competitor.elector.onLeaseHolderChanged({});
            return true;
        });
        int64_t token = 0;
        while (token == 0 && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            token = onLoop([&] { return competitor.elector.lease().fencingToken(); });
        }
        return token;
    }

    RegistryStoreStandIn registry;
    EventLoop loop;
};

} // namespace

// Guards against two nodes that give orders under the same fencing token, because the store returned from a copy older
// than the first one's lease and gave its revision out again.
TEST_F(OrderLeaseElectorTest, FencingTokensOfTwoHoldersDiffer)
{
    Competitor first(loop, registry.address(), "node-1");
    Competitor second(loop, registry.address(), "node-2");
    registry.keepCopy();
    const auto firstToken = acquire(first);
    EXPECT_GT(firstToken, 0);
    registry.returnFromCopy();
    const auto secondToken = acquire(second);
    EXPECT_GT(secondToken, firstToken);
    EXPECT_TRUE(onLoop([&] { return second.elector.lease().isHeld(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    EXPECT_FALSE(onLoop([&] { return first.elector.lease().isHeld(); }));
}

// Guards against orders of two nodes that are closer than the minimum time between them, because the first one resigned
// right after its last order. A lease that expires leaves more time.
TEST_F(OrderLeaseElectorTest, SuccessorOfAHolderThatResignsKeepsTheMinimumGap)
{
    OrderLeaseSettings settings;
    settings.takeoverDelay = milliseconds(300);
    settings.newEraDelay = milliseconds(0);
    const auto minGap = settings.takeoverDelay + settings.timeToLive - settings.renewalValidity;
    Competitor first(loop, registry.address(), "node-1", settings);
    Competitor second(loop, registry.address(), "node-2", settings);
    EXPECT_GT(acquire(first), 0);
    const auto mayOrder = [&](Competitor& competitor) { return onLoop([&] { return competitor.elector.mayOrder(); }); };
    const auto waitUntil = [](const std::function<bool()>& condition) {
        const auto end = std::chrono::steady_clock::now() + waitTimeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
    };
    waitUntil([&] { return mayOrder(first); });
    const auto resignedAt = std::chrono::steady_clock::now();
    (void)onLoop([&] {
        first.elector.resign("test");
        return true;
    });
    EXPECT_FALSE(mayOrder(first));
    waitUntil([&] { return !registry.value(OrderLeaseElector::key); });
    EXPECT_GT(acquire(second), 0);
    waitUntil([&] { return mayOrder(second); });
    EXPECT_GE(std::chrono::steady_clock::now() - resignedAt, minGap);
}

// Guards against a node that keeps the state of targets from before the store returned from an older copy, because the
// revisions of what is written again are lower.
TEST_F(EntryNodeTest, RecordsWrittenAfterAReturnFromACopyTakeEffect)
{
    store.keepCopy();
    for (int i = 0; i < 50; ++i)
        store.put("servers/" + firstTarget.id(), firstTarget.entry());
    const auto node = startNode();
    store.returnFromCopy();
    store.put("op/config", catalogText(2, "other"));
    store.put("servers/" + firstTarget.id(), firstTarget.entry("draining"));
    EXPECT_TRUE(eventually([&] { return request("/safe/x", "c").head.status == 503; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    for (int i = 0; i < 10; ++i) {
        const auto answer = request("/once/x", "r-" + std::to_string(i));
        EXPECT_EQ(answer.head.status, 200U);
        EXPECT_EQ(answer.body, "i-2:body");
    }
}

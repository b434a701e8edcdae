#include <Cyclamenstair/Control/LoadRateLimiter.h>
#include <Cyclamenstair/Control/OrderLease.h>
#include <Cyclamenstair/Store/StoreEra.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <random>

using namespace cyclamenstair;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

} // namespace

// Guards against a new lease holder that sends orders sooner after the previous one than targets accept.
TEST(OrderLease, NewHolderDelaysFirstOrder)
{
    OrderLease lease({});
    EXPECT_FALSE(lease.mayOrder(start));
    lease.markAcquired(7, start, start, std::nullopt);
    EXPECT_FALSE(lease.mayOrder(start + milliseconds(500)));
    lease.markRenewed(start + milliseconds(2600));
    EXPECT_FALSE(lease.mayOrder(start + milliseconds(2650)));
    EXPECT_TRUE(lease.mayOrder(start + milliseconds(2750)));
}

// Guards against a lease holder that sends orders after the store may have granted the lease to another node, because
// it was suspended or its renewals failed.
TEST(OrderLease, HolderWithoutRenewalMayNotOrder)
{
    OrderLease lease({});
    lease.markAcquired(7, start, start, std::nullopt);
    lease.markRenewed(start + milliseconds(4000));
    EXPECT_TRUE(lease.mayOrder(start + milliseconds(4500)));
    EXPECT_FALSE(lease.mayOrder(start + milliseconds(4700)));
    // A late response to an earlier renewal does not extend the lease.
    lease.markRenewed(start + milliseconds(3500));
    EXPECT_FALSE(lease.mayOrder(start + milliseconds(4700)));
    // If the lease did not expire while the store was unavailable, the first successful renewal makes it valid again.
    lease.markRenewed(start + milliseconds(9000));
    EXPECT_TRUE(lease.mayOrder(start + milliseconds(9100)));
    lease.markLost();
    EXPECT_FALSE(lease.isHeld());
}

namespace {

/// State of the lease in the store. It expires when its time to live has passed since the last renewal arrived.
struct StoreLease {
    int holder { -1 }; ///< Index of the node, or -1 for none.
    TimePoint expiry;
    int64_t revision { 0 };
    int64_t era { 1 };
};

/// Node that competes for the lease, renews it, and is suspended at random.
struct SimulatedNode {
    OrderLease lease { {} };
    int64_t era { 0 }; ///< As of its last contact with the store.
    TimePoint eraSeenAt;
    TimePoint suspendedUntil;
    TimePoint nextRenewal;
};

} // namespace

// Simulates nodes that are suspended at random and acquire the key whenever it is free, and a store with outages during
// which leases either expire or pause, and after some of which it returns from an older copy. Guards against orders of
// two nodes that are closer than the minimum gap, against fencing tokens that decrease, and against two holders with
// the same one.
RC_GTEST_PROP(OrderLeaseProperties, OrdersOfTwoHoldersKeepMinimumGap, ())
{
    const OrderLeaseSettings settings;
    std::array<SimulatedNode, 3> nodes;
    StoreLease store;
    int lastSender = -1;
    TimePoint lastOrderAt;
    int64_t lastFencingToken = 0;
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    std::mt19937 random(seed);
    constexpr auto step = milliseconds(20);
    TimePoint storeAvailableAt;
    bool areLeasesPaused = false;
    StoreLease copy;
    const auto contact = [&](SimulatedNode& node, TimePoint now) {
        if (node.era == store.era)
            return;
        node.era = store.era;
        node.eraSeenAt = now;
        node.lease.markLost();
    };
    for (TimePoint now = start; now < start + std::chrono::seconds(60); now += step) {
        const bool isStoreUnavailable = now < storeAvailableAt;
        if (!isStoreUnavailable && random() % 500 == 0) {
            storeAvailableAt = now + milliseconds(static_cast<int64_t>(random() % 8000));
            areLeasesPaused = random() % 2 == 0;
            if (random() % 2 == 0) {
                const auto era = store.era + 1;
                store = copy;
                store.era = era;
                storeAvailableAt = now + milliseconds(static_cast<int64_t>(random() % 1500));
                store.expiry = storeAvailableAt + settings.timeToLive;
                // The copy can be older than the lease.
                if (random() % 2 == 0)
                    store.holder = -1;
            }
        }
        if (!isStoreUnavailable && random() % 200 == 0)
            copy = store;
        if (isStoreUnavailable && areLeasesPaused)
            store.expiry += step;
        if (now >= store.expiry)
            store.holder = -1;
        for (int i = 0; i < static_cast<int>(nodes.size()); ++i) {
            auto& node = nodes[static_cast<size_t>(i)];
            if (now < node.suspendedUntil)
                continue;
            if (random() % 200 == 0)
                node.suspendedUntil = now + milliseconds(static_cast<int64_t>(random() % 6000));
            if (!isStoreUnavailable && store.holder < 0 && random() % 10 == 0) {
                contact(node, now);
                store = { i, now + settings.timeToLive, store.revision + 1, store.era };
                node.lease.markAcquired(*withEra(store.era, store.revision), now, now, node.eraSeenAt);
                node.nextRenewal = now;
            }
            if (!isStoreUnavailable && node.lease.isHeld() && now >= node.nextRenewal) {
                node.nextRenewal = now + milliseconds(200);
                const bool isResponseLost = random() % 4 == 0;
                if (!isResponseLost)
                    contact(node, now);
                const bool isLeaseAlive = store.holder == i && node.lease.isHeld()
                    && node.lease.fencingToken() == *withEra(store.era, store.revision);
                if (isLeaseAlive)
                    store.expiry = now + settings.timeToLive;
                if (isLeaseAlive && !isResponseLost)
                    node.lease.markRenewed(now);
                if (!isLeaseAlive && !isResponseLost)
                    node.lease.markLost();
            }
            if (!node.lease.mayOrder(now))
                continue;
            if (lastSender >= 0 && lastSender != i)
                RC_ASSERT(now - lastOrderAt >= milliseconds(3000));
            RC_ASSERT(node.lease.fencingToken() >= lastFencingToken);
            RC_ASSERT(lastSender == i || node.lease.fencingToken() > lastFencingToken);
            lastFencingToken = node.lease.fencingToken();
            lastSender = i;
            lastOrderAt = now;
        }
    }
}

// Guards against two successive lease holders that together exceed the load rate plus the three loads per window that
// the platform tolerates.
TEST(LoadRateLimiter, LimitsLoadsInAnyWindow)
{
    constexpr double loadsPerSecond = 1.4;
    constexpr double bound = loadsPerSecond * 5 + 3;
    std::vector<TimePoint> orderTimes;
    const auto order = [&](LoadRateLimiter& loads, TimePoint from, TimePoint to) {
        for (auto now = from; now < to; now += milliseconds(50)) {
            if (!loads.mayLoad(loadsPerSecond, now))
                continue;
            loads.recordLoad(now);
            orderTimes.push_back(now);
        }
    };
    const auto takeover = start + std::chrono::seconds(20);
    const auto firstOrder = takeover + std::chrono::seconds(3);
    LoadRateLimiter previous(start);
    order(previous, start + std::chrono::seconds(3), takeover);
    LoadRateLimiter next(takeover);
    order(next, firstOrder, start + std::chrono::seconds(40));
    EXPECT_TRUE(std::any_of(orderTimes.begin(), orderTimes.end(), [&](TimePoint at) { return at == firstOrder; }));
    for (const auto from : orderTimes) {
        const auto inWindow = std::count_if(orderTimes.begin(), orderTimes.end(),
            [&](TimePoint at) { return at >= from && at < from + LoadRateLimiter::window; });
        EXPECT_LE(static_cast<double>(inWindow), bound);
    }
}

// Guards against load orders that use up the rate although targets refused them, for example after a restart.
TEST(LoadRateLimiter, RefusedLoadsDoNotCount)
{
    const TimePoint start;
    LoadRateLimiter loads(start);
    const auto later = start + LoadRateLimiter::window;
    EXPECT_TRUE(loads.mayLoad(0.2, later));
    loads.recordLoad(later);
    EXPECT_FALSE(loads.mayLoad(0.2, later));
    loads.cancelLoad(later);
    EXPECT_TRUE(loads.mayLoad(0.2, later));
    loads.cancelLoad(later);
}

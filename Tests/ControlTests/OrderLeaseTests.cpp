#include <Cyclamenstair/Control/LoadWindow.h>
#include <Cyclamenstair/Control/OrderLease.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <random>

using namespace cyclamenstair;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

} // namespace

// Orders of two nodes must not be closer than the targets allow, so a new holder waits.
TEST(OrderLease, NewHolderWaitsBeforeItsFirstOrder)
{
    OrderLease lease({});
    EXPECT_FALSE(lease.mayOrder(start));
    lease.taken(7, start, start);
    EXPECT_FALSE(lease.mayOrder(start + milliseconds(500)));
    lease.renewed(start + milliseconds(2600));
    EXPECT_FALSE(lease.mayOrder(start + milliseconds(2650)));
    EXPECT_TRUE(lease.mayOrder(start + milliseconds(2750)));
}

// A holder that was suspended, or whose renewals fail, must stop before the store gives the lease to another node.
TEST(OrderLease, HolderWithoutRenewalsStops)
{
    OrderLease lease({});
    lease.taken(7, start, start);
    lease.renewed(start + milliseconds(4000));
    EXPECT_TRUE(lease.mayOrder(start + milliseconds(4500)));
    EXPECT_FALSE(lease.mayOrder(start + milliseconds(4700)));
    // The answer to an earlier renewal that comes late does not prolong the lease.
    lease.renewed(start + milliseconds(3500));
    EXPECT_FALSE(lease.mayOrder(start + milliseconds(4700)));
    // A lease that paused while the store was away goes on with the first renewal that succeeds.
    lease.renewed(start + milliseconds(9000));
    EXPECT_TRUE(lease.mayOrder(start + milliseconds(9100)));
    lease.lost();
    EXPECT_FALSE(lease.isHeld());
}

namespace {

/// The store's side of a lease: alive for its time to live after the arrival of the last renewal.
struct StoreLease {
    int holder { -1 }; ///< Index of the node, or -1 for none.
    TimePoint expiry;
    int64_t revision { 0 };
};

/// A node that renews, and may be suspended for a while.
struct SimulatedNode {
    OrderLease lease { {} };
    TimePoint suspendedUntil;
    TimePoint nextRenewal;
};

} // namespace

// Nodes that are suspended at any moment and take the key whenever it is free, and a store that goes away, in which
// time its leases run out or pause: orders of two nodes are at least the wait apart, and fencing numbers only increase.
RC_GTEST_PROP(OrderLeaseProperties, OrdersOfTwoHoldersAreApart, ())
{
    const OrderLeaseSettings settings;
    std::array<SimulatedNode, 3> nodes;
    StoreLease store;
    int lastSender = -1;
    TimePoint lastOrder;
    int64_t lastFence = 0;
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    std::mt19937 random(seed);
    constexpr auto step = milliseconds(20);
    TimePoint storeBack;
    bool doLeasesPause = false;
    for (TimePoint now = start; now < start + std::chrono::seconds(60); now += step) {
        const bool isStoreAway = now < storeBack;
        if (!isStoreAway && random() % 500 == 0) {
            storeBack = now + milliseconds(static_cast<int64_t>(random() % 8000));
            doLeasesPause = random() % 2 == 0;
        }
        if (isStoreAway && doLeasesPause)
            store.expiry += step;
        if (now >= store.expiry)
            store.holder = -1;
        for (int i = 0; i < static_cast<int>(nodes.size()); ++i) {
            auto& node = nodes[static_cast<size_t>(i)];
            if (now < node.suspendedUntil)
                continue;
            if (random() % 200 == 0)
                node.suspendedUntil = now + milliseconds(static_cast<int64_t>(random() % 6000));
            if (!isStoreAway && store.holder < 0 && random() % 10 == 0) {
                store = { i, now + settings.timeToLive, store.revision + 1 };
                node.lease.taken(store.revision, now, now);
                node.nextRenewal = now;
            }
            if (!isStoreAway && node.lease.isHeld() && now >= node.nextRenewal) {
                node.nextRenewal = now + milliseconds(200);
                const bool isAlive = store.holder == i && node.lease.fencingNumber() == store.revision;
                const bool isAnswerLost = random() % 4 == 0;
                if (isAlive)
                    store.expiry = now + settings.timeToLive;
                if (isAlive && !isAnswerLost)
                    node.lease.renewed(now);
                if (!isAlive && !isAnswerLost)
                    node.lease.lost();
            }
            if (!node.lease.mayOrder(now))
                continue;
            if (lastSender >= 0 && lastSender != i)
                RC_ASSERT(now - lastOrder >= milliseconds(3000));
            RC_ASSERT(node.lease.fencingNumber() >= lastFence);
            lastFence = node.lease.fencingNumber();
            lastSender = i;
            lastOrder = now;
        }
    }
}

// Two holders that follow each other must stay within the rate and three loads in any window, as the platform allows.
TEST(LoadWindow, BoundsLoadsOverAnyWindow)
{
    constexpr double loadsPerSecond = 1.4;
    constexpr double bound = loadsPerSecond * 5 + 3;
    std::vector<TimePoint> ordered;
    const auto order = [&](LoadWindow& loads, TimePoint from, TimePoint to) {
        for (auto now = from; now < to; now += milliseconds(50)) {
            if (!loads.mayLoad(loadsPerSecond, now))
                continue;
            loads.count(now);
            ordered.push_back(now);
        }
    };
    const auto takeover = start + std::chrono::seconds(20);
    const auto firstOrder = takeover + std::chrono::seconds(3);
    LoadWindow former(start);
    order(former, start + std::chrono::seconds(3), takeover);
    LoadWindow next(takeover);
    order(next, firstOrder, start + std::chrono::seconds(40));
    EXPECT_TRUE(std::any_of(ordered.begin(), ordered.end(), [&](TimePoint at) { return at == firstOrder; }));
    for (const auto from : ordered) {
        const auto inWindow = std::count_if(
            ordered.begin(), ordered.end(), [&](TimePoint at) { return at >= from && at < from + LoadWindow::window; });
        EXPECT_LE(static_cast<double>(inWindow), bound);
    }
}

// Guards against a rate that is used up by orders which targets refused, for example because they had just restarted.
TEST(LoadWindow, RefusedLoadsTakeNothingOfTheRate)
{
    const TimePoint start;
    LoadWindow loads(start);
    const auto later = start + LoadWindow::window;
    EXPECT_TRUE(loads.mayLoad(0.2, later));
    loads.count(later);
    EXPECT_FALSE(loads.mayLoad(0.2, later));
    loads.takeBack(later);
    EXPECT_TRUE(loads.mayLoad(0.2, later));
    loads.takeBack(later);
}

#include <Cyclamenstair/Control/LoadWindow.h>
#include <Cyclamenstair/Control/OrderLease.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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
    EXPECT_TRUE(lease.hasLapsed(start + milliseconds(5200)));
    // The answer to an earlier renewal that comes late does not prolong the lease.
    lease.renewed(start + milliseconds(3500));
    EXPECT_FALSE(lease.mayOrder(start + milliseconds(4700)));
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

// Nodes that are suspended at any moment and take the key whenever it is free: their orders are at least the wait
// apart, and fencing numbers only increase.
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
    for (TimePoint now = start; now < start + std::chrono::seconds(60); now += milliseconds(20)) {
        if (now >= store.expiry)
            store.holder = -1;
        for (int i = 0; i < static_cast<int>(nodes.size()); ++i) {
            auto& node = nodes[static_cast<size_t>(i)];
            if (now < node.suspendedUntil)
                continue;
            if (random() % 200 == 0)
                node.suspendedUntil = now + milliseconds(static_cast<int64_t>(random() % 6000));
            if (store.holder < 0 && random() % 10 == 0) {
                store = { i, now + settings.timeToLive, store.revision + 1 };
                node.lease.taken(store.revision, now, now);
                node.nextRenewal = now;
            }
            if (node.lease.isHeld() && now >= node.nextRenewal) {
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

// A former holder may have given its loads just before, so a new one starts with a full window.
TEST(LoadWindow, BoundsLoadsOverAnyWindow)
{
    LoadWindow loads(start);
    EXPECT_FALSE(loads.mayLoad(1.5, start + milliseconds(4999)));
    auto now = start + std::chrono::seconds(5);
    int ordered = 0;
    for (; now < start + std::chrono::seconds(10); now += milliseconds(50)) {
        if (loads.mayLoad(1.5, now)) {
            loads.count(now);
            ++ordered;
        }
    }
    EXPECT_EQ(ordered, 7);
    EXPECT_TRUE(loads.mayLoad(1.5, now));
}

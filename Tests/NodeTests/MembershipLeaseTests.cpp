#include <Cyclamenstair/Node/MembershipLease.h>
#include <Cyclamenstair/Settings/SettingsReader.h>

#include <gtest/gtest.h>
#include <thread>

namespace cyclamenstair {
namespace {

    bool waitUntil(const std::function<bool()>& condition)
    {
        const auto deadline = monotonicNow() + milliseconds(10000);
        while (!condition()) {
            if (monotonicNow() > deadline)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return true;
    }

    // Guards against a node that considers its lease valid after it has expired in the store, and against a node that
    // does not obtain a new lease once the store is available again.
    TEST(MembershipLease, ExpiresBeforeTheStoresLeaseAndIsGrantedAgain)
    {
        auto settings = SettingsReader::create("[store]\nlease_ttl_s = 2\n").value();
        MemoryStore store;
        StoreFaults storeFaults;
        StoreClient client(MemoryBackend(store, storeFaults), {});
        GossipTable gossip;
        PeerDirectory peers(settings, gossip);
        const MemberInfo member { "node-1", "node-1/x", "10.0.0.1:8082", "", "region-1", "domain-1", false };
        MembershipLease lease(settings, member, client, peers);
        ASSERT_TRUE(waitUntil([&] { return lease.isCurrent(); }));
        ASSERT_EQ(store.range("member/node-1", false).records.size(), 1U);
        EXPECT_NE(store.range("member/node-1", false).records[0].leaseId, 0);

        // While the store is unavailable, the node's lease must expire before the store removes the record.
        storeFaults.isUnreachable = true;
        while (lease.isCurrent()) {
            store.expireLeases(monotonicNow());
            const bool hasRecord = !store.range("member/node-1", false).records.empty();
            ASSERT_TRUE(hasRecord || !lease.isCurrent());
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        ASSERT_TRUE(waitUntil([&] {
            store.expireLeases(monotonicNow());
            return store.range("member/node-1", false).records.empty();
        }));
        storeFaults.isUnreachable = false;
        EXPECT_TRUE(waitUntil([&] { return lease.isCurrent(); }));
        EXPECT_EQ(store.range("member/node-1", false).records.size(), 1U);
        lease.stop();
        EXPECT_FALSE(lease.isCurrent());
        EXPECT_TRUE(store.range("member/node-1", false).records.empty());
    }

} // namespace
} // namespace cyclamenstair

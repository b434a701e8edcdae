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

    // Guards against a holder that acts on a lease which the store has let expire, and against one that does not get a
    // new lease afterwards.
    TEST(MembershipLease, EndsWithTheStoresLeaseAndIsGrantedAnew)
    {
        auto settings = SettingsReader::create("[store]\nlease_ttl_s = 2\n").value();
        MemoryStore store;
        StoreFaults faults;
        StoreClient client(MemoryBackend(store, faults), {});
        GossipTable gossip;
        PeerDirectory peers(settings, gossip);
        const MemberInfo self { "node-1", "node-1/x", "10.0.0.1:8082", "", "region-1", "domain-1", false };
        MembershipLease lease(settings, self, client, peers);
        ASSERT_TRUE(waitUntil([&] { return lease.isCurrent(); }));
        ASSERT_EQ(store.range("member/node-1", false).records.size(), 1U);
        EXPECT_NE(store.range("member/node-1", false).records[0].leaseId, 0);

        // While the store cannot be reached, the lease ends before the store drops the record.
        faults.isUnreachable = true;
        while (lease.isCurrent()) {
            store.expireLeases(monotonicNow());
            const bool isHeld = !store.range("member/node-1", false).records.empty();
            ASSERT_TRUE(isHeld || !lease.isCurrent());
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        ASSERT_TRUE(waitUntil([&] {
            store.expireLeases(monotonicNow());
            return store.range("member/node-1", false).records.empty();
        }));
        faults.isUnreachable = false;
        EXPECT_TRUE(waitUntil([&] { return lease.isCurrent(); }));
        EXPECT_EQ(store.range("member/node-1", false).records.size(), 1U);
        lease.stop();
        EXPECT_FALSE(lease.isCurrent());
        EXPECT_TRUE(store.range("member/node-1", false).records.empty());
    }

} // namespace
} // namespace cyclamenstair

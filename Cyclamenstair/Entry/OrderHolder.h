#pragma once

#include <Cyclamenstair/Control/OrderLease.h>
#include <Cyclamenstair/Core/Random.h>
#include <platform/PlatformStore.h>

namespace cyclamenstair {

/// Takes part in the choice of the one node that gives orders: creates the holder's key under a lease when it is
/// absent, and renews the lease. Belongs to one event loop.
class OrderHolder {
public:
    OrderHolder(boost::asio::io_context& context, PlatformStore& store, std::string nodeId, OrderLeaseSettings settings,
        uint64_t seed);

    /// Key of the node that holds the lease.
    static const std::string key;

    /// Takes the node named by the key; empty if the key is absent.
    void onHolder(const std::string& holder);

    /// Gives the lease up.
    void stop();

    /// Gives no more orders under the present lease, because another node has a newer right.
    void abandon(const std::string& reason);

    /// Returns whether an order may be sent at this moment.
    bool mayOrder() const { return m_lease.mayOrder(suspendAwareNow()); }

    const OrderLease& lease() const { return m_lease; }

private:
    void scheduleTake();
    void take();
    void create(int64_t leaseId, TimePoint sentAt);
    void renew();
    void onRenewed(StoreLeaseOutcome outcome, TimePoint sentAt);
    void loseLease(const std::string& reason);
    void scheduleRenewal();

    boost::asio::steady_timer m_timer;
    PlatformStore* m_store;
    std::string m_nodeId;
    OrderLeaseSettings m_settings;
    OrderLease m_lease;
    Random m_random;
    std::string m_holder; ///< Node named by the holder's key; empty if the key is absent.
    bool m_isHolderKnown { false };
    bool m_isTaking { false };
    bool m_isStopping { false };
    int64_t m_leaseId { 0 };
};

} // namespace cyclamenstair

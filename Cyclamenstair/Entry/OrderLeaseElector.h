#pragma once

#include <Cyclamenstair/Control/OrderLease.h>
#include <Cyclamenstair/Core/Random.h>
#include <platform/PlatformStore.h>

namespace cyclamenstair {

/// Elects the one node that sends orders to targets: creates the lease holder's key under a store lease when the key is
/// absent, and renews that lease. Belongs to one event loop.
class OrderLeaseElector {
public:
    OrderLeaseElector(boost::asio::io_context& context, PlatformStore& store, std::string nodeId,
        OrderLeaseSettings settings, uint64_t seed);

    /// Key whose value is the id of the lease holder.
    static const std::string key;

    /// Handles a change of the key; `leaseHolder` is its value, or empty if the key is absent.
    void onLeaseHolderChanged(const std::string& leaseHolder);

    /// Sets the number of nodes that compete for a free lease.
    void setCompetitorCount(size_t competitorCount) { m_competitorCount = competitorCount; }

    /// Sets a function that returns whether this node takes a free lease. Without it, the node always does.
    void setEligibility(std::function<bool()> isEligible) { m_isEligible = std::move(isEligible); }

    /// Resigns and stops competing for the lease.
    void stop();

    /// Sends no more orders and revokes the lease a little later, if this node holds it. The node may be elected again
    /// later.
    void resign(const std::string& reason);

    /// Returns whether this node may send an order now.
    bool mayOrder() const { return m_lease.mayOrder(suspendAwareNow()); }

    const OrderLease& lease() const { return m_lease; }

private:
    void scheduleAcquire();
    void acquire();
    void retryAcquire(Duration delay);
    void createHolderKey(int64_t leaseId, TimePoint sentAt, uint64_t attempt);
    void renew();
    void onRenewed(StoreLeaseOutcome outcome, TimePoint sentAt);
    void clearLease(const std::string& reason);
    void scheduleRenewal(Duration delay);

    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_revocationTimer;
    PlatformStore* m_store;
    std::string m_nodeId;
    OrderLeaseSettings m_settings;
    OrderLease m_lease;
    Random m_random;
    std::string m_leaseHolder; ///< Value of the key; empty if the key is absent.
    size_t m_competitorCount { 1 };
    std::function<bool()> m_isEligible;
    bool m_isLeaseHolderKnown { false };
    bool m_isAcquiring { false };
    uint64_t m_attempt { 0 }; ///< Number of the last attempt; outcomes of earlier ones are not used.
    bool m_isStopping { false };
    int64_t m_leaseId { 0 }; ///< 0 while the lease is not held.
};

} // namespace cyclamenstair

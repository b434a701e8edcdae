#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <optional>

namespace cyclamenstair {

/// Settings of an OrderLease.
struct OrderLeaseSettings {
    Duration timeToLive { milliseconds(1200) }; ///< Lifetime of the lease after the store receives a renewal.
    /// Time during which orders may be sent after the last successful renewal was sent. Shorter than timeToLive, so
    /// that the store cannot have granted the lease to another node.
    Duration renewalValidity { milliseconds(600) };
    /// Delay between acquiring the lease and the first order. The platform states a minimum time between orders of two
    /// nodes; the time from the end of the renewal's validity to the expiry of the lease counts towards it.
    Duration takeoverDelay { milliseconds(2700) };
    /// Delay between the first sign of a new era of the store and the first order. A store that returns from an older
    /// copy forgets the lease of a holder that may send orders until renewalValidity has passed, so the whole minimum
    /// time between orders is added to that.
    Duration newEraDelay { milliseconds(3900) };
    /// Delay before the node tries to take a free lease. Longer on nodes with less processor time, so that a node with
    /// more of it takes the lease.
    Duration acquireDelay { 0 };
};

/// Determines whether this node may send orders. All times are from a clock that includes suspended time, so that a
/// node that was suspended does not assume that it still holds the lease. Not thread-safe.
class OrderLease {
public:
    explicit OrderLease(OrderLeaseSettings settings)
        : m_settings(settings)
    {
    }

    /// Called when this node has created the lease holder's key, under a lease requested at `sentAt`. `eraSeenAt` is
    /// when this node first heard of the store's era; no value for a store without eras.
    void markAcquired(int64_t fencingToken, TimePoint sentAt, TimePoint now, std::optional<TimePoint> eraSeenAt);

    /// Called when a renewal sent at `sentAt` succeeded, however late the response. The store renews only a lease that
    /// has not expired, so no other node can have held the key since.
    void markRenewed(TimePoint sentAt);

    /// Called when the lease is no longer held, for example after it expired or was revoked.
    void markLost() { m_fencingToken = 0; }

    bool isHeld() const { return m_fencingToken != 0; }

    /// Returns whether an order may be sent now.
    bool mayOrder(TimePoint now) const;

    /// Returns 0 if the lease is not held.
    int64_t fencingToken() const { return m_fencingToken; }

private:
    OrderLeaseSettings m_settings;
    int64_t m_fencingToken { 0 };
    TimePoint m_renewedAt; ///< Sending time of the last successful renewal.
    TimePoint m_ordersAllowedFrom;
};

} // namespace cyclamenstair

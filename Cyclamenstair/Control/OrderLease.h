#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <cstdint>

namespace cyclamenstair {

/// Settings of an OrderLease.
struct OrderLeaseSettings {
    Duration timeToLive { milliseconds(1200) }; ///< Of the lease in the store, from the arrival of a renewal there.
    /// Time after the sending of the last successful renewal during which orders may be given. Shorter than the time to
    /// live, so that the store has not given the lease to another node.
    Duration validity { milliseconds(600) };
    /// Wait between taking the lease and the first order. Engines accept no orders of two nodes within a bound, which
    /// the platform states; the time from the end of the validity to the end of the lease counts towards it.
    Duration takeoverWait { milliseconds(2700) };
};

/// Whether this node may give orders. Times are of a clock that counts suspended time, so that a node that was paused
/// does not believe that it still holds the lease.
class OrderLease {
public:
    explicit OrderLease(OrderLeaseSettings settings)
        : m_settings(settings)
    {
    }

    /// The holder's key was created by this node, under a renewal sent at `sentAt`.
    void taken(int64_t fencingNumber, TimePoint sentAt, TimePoint now);

    /// A renewal that was sent at `sentAt` succeeded, after any time: the store renews only a lease that never ended,
    /// so no other node has had the key meanwhile.
    void renewed(TimePoint sentAt);

    /// The lease is over.
    void lost() { m_fencingNumber = 0; }

    bool isHeld() const { return m_fencingNumber != 0; }

    /// Returns whether an order may be sent now.
    bool mayOrder(TimePoint now) const;

    int64_t fencingNumber() const { return m_fencingNumber; }

private:
    OrderLeaseSettings m_settings;
    int64_t m_fencingNumber { 0 }; ///< 0 while the lease is not held.
    TimePoint m_renewedAt;
    TimePoint m_ordersFrom;
};

} // namespace cyclamenstair

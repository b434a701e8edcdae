#pragma once

#include <Cyclamenstair/Codec/PlacementCodec.h>
#include <Cyclamenstair/Store/StoreClient.h>

#include <functional>
#include <mutex>

namespace cyclamenstair {

/// Leased portion of a limit that nodes share. Slots are acquired locally, without a store call; renew() updates the
/// store record `portion/<limit>`. Thread-safe.
class PortionLease {
public:
    /// Returns whether the process of the holder, a node incarnation, has terminated.
    using HasProcessEnded = std::function<bool(const std::string& holder)>;

    PortionLease(StoreClient& store, const std::string& limit, std::string holder, HasProcessEnded hasProcessEnded);

    /// Leases up to `requestedSlots` of the `totalSlots`, depending on what other holders leave, if the lease is due
    /// for renewal or the number has changed. Must be called by a single thread.
    void renew(uint32_t requestedSlots, uint32_t totalSlots);

    /// Releases the portion in the store unless a slot is in use.
    void releaseLease();

    /// Acquires one slot; returns false if all are in use or the lease has expired.
    bool tryAcquireSlot();
    void releaseSlot();

    /// Returns the number of slots that can be acquired now.
    uint32_t freeSlots() const;

private:
    bool writeRecord(const LeasedPortions& portions, int64_t revision);
    void setSlots(uint32_t slots, TimePoint expiresAt);

    StoreClient* m_store;
    std::string m_key;
    std::string m_limit;
    std::string m_holder;
    HasProcessEnded m_hasProcessEnded;
    uint32_t m_requestedSlots { 0 };
    TimePoint m_nextRenewalAt;
    mutable std::mutex m_mutex;
    uint32_t m_slots { 0 };
    uint32_t m_usedSlots { 0 };
    TimePoint m_expiresAt;
};

} // namespace cyclamenstair

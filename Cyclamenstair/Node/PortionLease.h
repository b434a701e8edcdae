#pragma once

#include <Cyclamenstair/Codec/PlacementCodec.h>
#include <Cyclamenstair/Store/StoreClient.h>

#include <functional>
#include <mutex>

namespace cyclamenstair {

/// This node's leased portion of one shared limit. Uses take a slot without a store call; renew() writes the store's
/// record `portion/<limit>`. Callable from many threads.
class PortionLease {
public:
    /// Tells whether the holder, a node incarnation, has ended.
    using HasEnded = std::function<bool(const std::string& holder)>;

    PortionLease(StoreClient& store, const std::string& limit, std::string holder, HasEnded hasEnded);

    /// Takes `wanted` of `total` slots, as far as other holders leave them, if the lease is due for renewal or the
    /// number changed. Called by one thread.
    void renew(uint32_t wanted, uint32_t total);

    /// Gives the portion back if no slot is in use.
    void surrender();

    /// Takes one slot; returns false if all are in use or the lease has expired.
    bool tryAcquire();
    void release();

    /// Returns the slots that can be taken now.
    uint32_t freeSlots() const;

private:
    bool write(const LeasedPortions& portions, int64_t revision);
    void setSlots(uint32_t slots, TimePoint expiry);

    StoreClient* m_store;
    std::string m_key;
    std::string m_limit;
    std::string m_holder;
    HasEnded m_hasEnded;
    uint32_t m_wanted { 0 };
    TimePoint m_nextRenewal;
    mutable std::mutex m_mutex;
    uint32_t m_slots { 0 };
    uint32_t m_inUse { 0 };
    TimePoint m_expiry;
};

} // namespace cyclamenstair

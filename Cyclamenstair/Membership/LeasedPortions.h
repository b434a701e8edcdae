#pragma once

#include <Cyclamenstair/Core/Result.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Slots of a shared concurrency limit that are leased to one holder.
struct Portion {
    std::string holder; ///< Node incarnation.
    uint32_t slots { 0 };
    uint64_t expiresAtUnixMs { 0 }; ///< End of the time in which the holder may start using slots.

    bool operator==(const Portion&) const = default;
};

/// Record in the store that divides a concurrency limit between coordinators; updated by compare-and-swap.
///
/// A holder uses its slots without a store call for each use. A use can outlast the lease, and a holder that was paused
/// can start one after the lease expired. A portion therefore counts against the limit until its holder releases it, or
/// until it has expired and its holder is known to have terminated. The class does no I/O and reads no clock. Not
/// thread-safe.
class LeasedPortions {
public:
    explicit LeasedPortions(std::string limit)
        : m_limitName(std::move(limit))
    {
    }

    /// Creates the record from values read from the store. Fails with InvalidInput if `limit` is empty or a holder
    /// occurs twice.
    static Result<LeasedPortions> create(std::string limit, std::vector<Portion> portions);

    /// Returns the name of the limit.
    const std::string& limit() const { return m_limitName; }
    const std::vector<Portion>& portions() const { return m_portions; }

    /// Returns the sum of the slots of all portions.
    uint32_t grantedSlots() const;

    /// Returns the portion of `holder`, or null.
    const Portion* find(const std::string& holder) const;

    /// Extends the portion of `holder` to `expiresAtUnixMs` and resizes it to `requestedSlots`, but not below its slots
    /// in use, and not beyond what the other portions leave of `limitSlots`. Returns the resulting number of slots.
    uint32_t renew(const std::string& holder, uint32_t requestedSlots, uint32_t slotsInUse, uint32_t limitSlots,
        uint64_t expiresAtUnixMs);

    /// Removes the portion of `holder`, which must have no slot in use and must not start using one.
    void release(const std::string& holder);

    /// Removes the portions that have expired and whose holder has terminated.
    void reclaim(uint64_t nowUnixMs, const std::function<bool(const std::string& holder)>& isHolderTerminated);

private:
    std::string m_limitName;
    std::vector<Portion> m_portions;
};

} // namespace cyclamenstair

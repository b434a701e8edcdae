#pragma once

#include <Cyclamenstair/Core/Result.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Slots of a shared limit that one holder may use at once.
struct Portion {
    std::string holder; ///< Node incarnation.
    uint32_t slots { 0 };
    uint64_t expiresAtUnixMs { 0 }; ///< Until when the holder may begin uses.

    bool operator==(const Portion&) const = default;
};

/// Record that shares a limit on concurrent use between coordinators, kept in the store under compare-and-swap.
///
/// A holder uses its slots without a store call for each use. Uses that it began can outlast its lease, and a paused
/// holder can still begin one. A portion therefore counts against the limit until its holder gives it back, or until it
/// has expired and the holder is known to have ended. The class does no I/O and reads no clock.
class LeasedPortions {
public:
    explicit LeasedPortions(std::string limit)
        : m_limit(std::move(limit))
    {
    }

    /// Rebuilds the record from its parts, as read from the store.
    static Result<LeasedPortions> create(std::string limit, std::vector<Portion> portions);

    const std::string& limit() const { return m_limit; }
    const std::vector<Portion>& portions() const { return m_portions; }

    /// Sum of the slots of all portions.
    uint32_t grantedSlots() const;

    /// Returns the portion of `holder`, or null.
    const Portion* find(const std::string& holder) const;

    /// Extends the portion of `holder` to `expiresAtUnixMs` and brings its size to `wanted`, but not below `inUse` and
    /// not beyond what the other portions leave of `total`. Returns the slots that it holds from now on.
    uint32_t renew(
        const std::string& holder, uint32_t wanted, uint32_t inUse, uint32_t total, uint64_t expiresAtUnixMs);

    /// Gives the portion of `holder` back; the holder has no use in progress and begins none.
    void surrender(const std::string& holder);

    /// Removes the portions that have expired and whose holder has ended.
    void reclaim(uint64_t nowUnixMs, const std::function<bool(const std::string& holder)>& hasEnded);

private:
    std::string m_limit;
    std::vector<Portion> m_portions;
};

} // namespace cyclamenstair

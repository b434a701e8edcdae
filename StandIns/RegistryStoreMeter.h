#pragma once

#include <StandIns/RegistryStoreLimits.h>

#include <array>
#include <deque>
#include <map>
#include <mutex>

namespace cyclamenstair {

/// Rate limit that a call counts towards.
enum class RegistryStoreRate : uint8_t {
    Read, ///< Includes watches and lease renewals.
    Write, ///< Transactions, and grants and ends of leases.
    None, ///< Stale reads, and calls that the store does not have.
};

template <> struct EnumNames<RegistryStoreRate> {
    static constexpr auto table = std::to_array<EnumName<RegistryStoreRate>>({
        { RegistryStoreRate::Read, "read" },
        { RegistryStoreRate::Write, "write" },
        { RegistryStoreRate::None, "none" },
    });
};

RegistryStoreRate rateOf(RegistryStoreCallKind kind);

/// Counts the calls of all callers and limits their rates. Thread-safe.
class RegistryStoreMeter {
public:
    /// Counts a call, also if it will be rejected.
    void countCall(RegistryStoreCallKind kind, TimePoint now);

    void countStatus(RegistryStoreCallKind kind, uint32_t status);

    /// Returns whether the call is within the rate limits, which count the admitted calls of the last second.
    bool admit(RegistryStoreCallKind kind, const RegistryStoreLimits& limits, TimePoint now);

    /// Returns how many calls of the kind were made, including rejected ones.
    size_t callCount(RegistryStoreCallKind kind) const;

    /// Returns how many calls of the kind had the status as their result, also if the response was lost. A watch counts
    /// when it is answered, and not if it was disconnected.
    size_t statusCount(RegistryStoreCallKind kind, uint32_t status) const;

    /// Returns the most calls, including rejected ones, that were made within one second.
    size_t peakCallsPerSecond(RegistryStoreRate rate) const;

private:
    /// Times within the last second.
    class Window {
    public:
        size_t count(TimePoint now);
        void add(TimePoint now) { m_times.push_back(now); }

    private:
        std::deque<TimePoint> m_times;
    };
    struct Usage {
        Window made;
        Window admitted;
        size_t peak { 0 };
    };

    mutable std::mutex m_mutex; ///< Guards all members below.
    std::map<RegistryStoreCallKind, size_t> m_calls;
    std::map<std::pair<RegistryStoreCallKind, uint32_t>, size_t> m_statuses;
    std::map<RegistryStoreRate, Usage> m_usage;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Time.h>

#include <cstdint>

namespace cyclamenstair {

/// Next action of the holder of a lease.
enum class LeaseAction : uint8_t {
    Wait,
    Grant,
    Renew,
};

template <> struct EnumNames<LeaseAction> {
    static constexpr auto table = std::to_array<EnumName<LeaseAction>>({
        { LeaseAction::Wait, "wait" },
        { LeaseAction::Grant, "grant" },
        { LeaseAction::Renew, "renew" },
    });
};

/// The client's view of a lease in the store. It is conservative: the lease runs from the start of the store call that
/// granted or renewed it, and ends after 90% of its time to live. Not thread-safe.
class LeaseState {
public:
    explicit LeaseState(Duration timeToLive);

    /// Records that a store call started at `callStartedAt` granted or renewed the lease.
    void setGranted(int64_t leaseId, TimePoint callStartedAt);
    void setRenewed(TimePoint callStartedAt);

    /// Records that the lease no longer exists in the store.
    void setLost();

    int64_t leaseId() const { return m_leaseId; }

    /// Returns whether the lease certainly still exists in the store at `now`. After the process was paused beyond the
    /// end of the lease, this is false until a renewal succeeds.
    bool isCurrent(TimePoint now) const;

    /// Returns the next action; a renewal is due after a third of the time to live.
    LeaseAction nextAction(TimePoint now) const;

private:
    Duration m_timeToLive;
    int64_t m_leaseId { 0 };
    TimePoint m_calledAt;
};

} // namespace cyclamenstair

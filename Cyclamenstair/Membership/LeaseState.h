#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Time.h>

#include <cstdint>

namespace cyclamenstair {

/// What the holder of a lease has to do next.
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

/// Own view of a lease in the store. It errs to the safe side: the time of a lease counts from before the call that
/// granted or renewed it, and ends a tenth before the store's. Not synchronised.
class LeaseState {
public:
    explicit LeaseState(Duration timeToLive);

    /// A lease was granted or renewed by a call that began at `calledAt`.
    void setGranted(int64_t leaseId, TimePoint calledAt);
    void setRenewed(TimePoint calledAt);

    /// The store does not know the lease any more.
    void setLost();

    int64_t leaseId() const { return m_leaseId; }

    /// Returns whether the store certainly still holds the lease at `now`. A process that was paused past the end gets
    /// false until a renewal succeeds.
    bool isCurrent(TimePoint now) const;

    /// Returns the next action; renewals are due every third of the time to live.
    LeaseAction nextAction(TimePoint now) const;

private:
    Duration m_timeToLive;
    int64_t m_leaseId { 0 };
    TimePoint m_calledAt;
};

} // namespace cyclamenstair

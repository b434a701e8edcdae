#pragma once

#include <Cyclamenstair/Plan/Plan.h>

#include <condition_variable>
#include <memory>
#include <mutex>

namespace cyclamenstair {

/// The active plan of a node. Its revision only increases, so a stale read cannot reactivate an older plan.
/// Thread-safe.
///
/// Not sharded, because all requests read the same value: readers copy a pointer under a short lock.
class ActivePlan {
public:
    /// Activates `plan` if its revision is greater than that of the active plan; returns whether it did.
    bool activateIfNewer(Plan plan);

    /// Returns the active plan; null before the first one. Shared, because a request may outlive a change of the plan.
    std::shared_ptr<const Plan> plan() const;

    /// Returns the active revision; 0 before the first plan.
    uint64_t revision() const;

    /// Waits up to `timeout` until the active revision is greater than `revision`; returns the active revision.
    uint64_t waitForRevisionAbove(uint64_t revision, Duration timeout) const;

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::shared_ptr<const Plan> m_plan;
};

} // namespace cyclamenstair

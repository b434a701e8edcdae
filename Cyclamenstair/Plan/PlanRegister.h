#pragma once

#include <Cyclamenstair/Plan/Plan.h>

#include <condition_variable>
#include <memory>
#include <mutex>

namespace cyclamenstair {

/// The plan in force at a node. Its revision only grows, so a stale read cannot bring an older plan back.
///
/// One value that all requests read has nothing to shard: readers copy a pointer under a short lock.
class PlanRegister {
public:
    /// Puts `plan` in force if its revision is greater than the present one; returns whether it did.
    bool offer(Plan plan);

    /// Returns the plan in force; null before the first one. Shared, because requests outlive a change of plan.
    std::shared_ptr<const Plan> plan() const;

    /// Returns the revision in force; 0 before the first plan.
    uint64_t revision() const;

    /// Waits until the revision is greater than `revision`, at most for `limit`; returns the revision in force.
    uint64_t waitForRevisionAbove(uint64_t revision, Duration limit) const;

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::shared_ptr<const Plan> m_plan;
};

} // namespace cyclamenstair

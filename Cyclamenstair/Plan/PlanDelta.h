#pragma once

#include <Cyclamenstair/Plan/Plan.h>

#include <optional>

namespace cyclamenstair {

/// Difference between two consecutive revisions of the plan.
struct PlanDelta {
    uint64_t revision { 0 }; ///< Revision after the change; the delta applies only to revision - 1.
    Plan changed; ///< Rows that are added or changed; the revision of this plan is not used.
    std::vector<std::string> removedModels;
    std::vector<std::string> removedAdapters;
    std::vector<std::string> removedServices;
    std::vector<std::string> removedCallers;

    bool operator==(const PlanDelta&) const = default;

    /// Returns the delta that turns the rows of `from` into those of `to`, at revision `from.revision + 1`.
    static PlanDelta between(const Plan& from, const Plan& to);

    /// Returns the plan after the change, or no value if the revision of `base` is not `revision - 1`.
    std::optional<Plan> appliedTo(const Plan& base) const;

    /// Returns the number of rows that are added, changed or removed.
    size_t rowCount() const;
};

} // namespace cyclamenstair

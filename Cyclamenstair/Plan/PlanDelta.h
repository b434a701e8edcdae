#pragma once

#include <Cyclamenstair/Plan/Plan.h>

#include <optional>

namespace cyclamenstair {

/// Difference between two consecutive revisions of the plan.
struct PlanDelta {
    uint64_t revision { 0 }; ///< Revision after the change; it applies to the plan of revision - 1 only.
    Plan changed; ///< Rows that are new or differ; its own revision is not used.
    std::vector<std::string> removedModels;
    std::vector<std::string> removedAdapters;
    std::vector<std::string> removedServices;
    std::vector<std::string> removedCallers;

    bool operator==(const PlanDelta&) const = default;

    /// Returns the difference that leads from the rows of `from` to those of `to`, at revision `from.revision + 1`.
    static PlanDelta between(const Plan& from, const Plan& to);

    /// Returns the plan after the change, or no value if `base` has another revision than the one this applies to.
    std::optional<Plan> appliedTo(const Plan& base) const;

    /// Returns the number of rows that are new, differ or are removed.
    size_t rowCount() const;
};

} // namespace cyclamenstair

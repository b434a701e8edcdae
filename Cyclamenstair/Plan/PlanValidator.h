#pragma once

#include <Cyclamenstair/Plan/SheetParser.h>

namespace cyclamenstair {

/// Target on which models can be placed.
struct PlanTarget {
    std::string target;
    std::string failureDomain;
    uint64_t memoryBytes { 0 };
};

/// Findings of a plan check. A plan with errors must not be accepted; a plan with warnings may be.
struct PlanFindings {
    std::vector<SheetFinding> errors;
    std::vector<SheetFinding> warnings;
};

/// Checks the consistency and the memory requirement of a parsed plan.
///
/// All planned models and adapters must fit at the same time, because each stays loaded whether or not it is in demand.
/// The check packs them with two greedy rules and reports an error only if both fail, so it can reject a plan for which
/// an exhaustive search would find a placement. If the plan needs no more memory than the active plan, memory findings
/// are only warnings: after a loss of targets, operators must still be able to change callers and remove models.
class PlanValidator {
public:
    /// Share of the total memory above which the check warns that little room remains for moves.
    static constexpr double memoryWarningShare = 0.9;

    /// `activePlan` is the plan that `plan` replaces, or null. `lines` maps rows to their lines in the sheet; rows
    /// without an entry are reported at line 0. Without targets, memory is not checked, which is reported as a warning.
    static PlanFindings check(const Plan& plan, const std::vector<PlanTarget>& targets,
        const Plan* activePlan = nullptr, const SheetLines& lines = {});
};

} // namespace cyclamenstair

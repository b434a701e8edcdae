#pragma once

#include <Cyclamenstair/Plan/SheetParser.h>

namespace cyclamenstair {

/// Target that models can be placed on.
struct PlanTarget {
    std::string target;
    std::string failureDomain;
    uint64_t memoryBytes { 0 };
};

/// Findings of a check. A plan with errors must not be accepted; warnings are for the operator to judge.
struct PlanFindings {
    std::vector<SheetFinding> errors;
    std::vector<SheetFinding> warnings;
};

/// Checks a parsed plan as a whole.
///
/// All planned models and adapters must fit at the same time, because each stays resident whether it is asked for or
/// not. The check packs them by two greedy rules and reports an error only if both fail, so it can refuse a plan that
/// an exhaustive search would place. A plan that needs no more than the one in force is not refused for memory: after
/// targets were lost, operators must still be able to change callers and to remove models. Its findings are warnings.
class PlanValidator {
public:
    /// Share of all memory above which the check warns: little is left for moves.
    static constexpr double memoryWarningShare = 0.9;

    /// `inForce` is the plan that `plan` replaces, or null. `lines` gives the sheet lines of rows where known. Without
    /// targets the memory cannot be checked, which gives a warning.
    static PlanFindings check(const Plan& plan, const std::vector<PlanTarget>& targets, const Plan* inForce = nullptr,
        const SheetLines& lines = {});
};

} // namespace cyclamenstair

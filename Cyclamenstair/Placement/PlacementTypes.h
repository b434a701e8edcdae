#pragma once

#include <Cyclamenstair/Placement/DemandTracker.h>
#include <Cyclamenstair/Plan/Plan.h>
#include <Cyclamenstair/Residency/TargetLedger.h>

#include <set>
#include <vector>

namespace cyclamenstair {

/// A target as placement sees it.
struct PlacementTarget {
    std::string target;
    std::string failureDomain;
    uint64_t capacityBytes { 0 };
    bool isLeaving { false };
    const TargetLedger* ledger { nullptr }; ///< What may be resident now.
    bool isOrderable { true }; ///< False while an order is in progress, or if the target cannot be ordered.
};

/// Loads that may be started now.
struct LoadBudget {
    uint32_t models { 0 };
    uint32_t adapters { 0 };
};

/// Why an order is given.
enum class MoveReason : uint8_t {
    PlannedCopy, ///< A copy that the plan asks for is missing.
    Drain, ///< The copy replaces one on a target that is leaving.
    Demand, ///< Additional copy of an artifact in demand.
    MakeRoom, ///< The copy makes room for a load.
    NotPlanned, ///< The plan does not contain the artifact.
    NotAccounted, ///< No recorded order explains the artifact.
    Repeat, ///< The order got no answer yet.
};

template <> struct EnumNames<MoveReason> {
    static constexpr auto table = std::to_array<EnumName<MoveReason>>({
        { MoveReason::PlannedCopy, "planned_copy" },
        { MoveReason::Drain, "drain" },
        { MoveReason::Demand, "demand" },
        { MoveReason::MakeRoom, "make_room" },
        { MoveReason::NotPlanned, "not_planned" },
        { MoveReason::NotAccounted, "not_accounted" },
        { MoveReason::Repeat, "repeat" },
    });
};

/// An order that placement asks for.
struct PlacementOrder {
    OrderKind kind { OrderKind::Load };
    std::string target;
    std::string artifact;
    std::string baseModel; ///< Empty for a model.
    uint64_t memoryBytes { 0 };
    MoveReason reason { MoveReason::PlannedCopy };
    std::string from; ///< Leaving target that the load replaces, or artifact that the unload makes room for.

    bool operator==(const PlacementOrder&) const = default;
};

/// Artifacts wanted on each target.
using CopiesByTarget = std::map<std::string, std::set<std::string>>;

/// What a policy decides on.
struct PlacementInput {
    const Plan* plan { nullptr };
    std::vector<PlacementTarget> targets;
    DemandByArtifact demand;
    LoadBudget budget;
    TimePoint now;
};

/// What a policy decided.
struct PlacementDecision {
    std::vector<PlacementOrder> orders; ///< In the order in which they may be carried out.
    std::vector<std::string> unplaced; ///< Planned artifacts with fewer copies than planned for lack of memory.
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Placement/DemandTracker.h>
#include <Cyclamenstair/Plan/Plan.h>
#include <Cyclamenstair/Residency/TargetLedger.h>

#include <set>
#include <vector>

namespace cyclamenstair {

/// Placement's view of a target.
struct PlacementTarget {
    std::string target;
    std::string failureDomain;
    uint64_t capacityBytes { 0 };
    bool isLeaving { false };
    const TargetLedger* ledger { nullptr }; ///< Artifacts that may be resident.
    bool isOrderable { true }; ///< False while an order is in progress or if the target does not accept orders.
};

/// Number of loads that may be started now.
struct LoadBudget {
    uint32_t models { 0 };
    uint32_t adapters { 0 };
};

/// Reason for an order.
enum class MoveReason : uint8_t {
    PlannedCopy, ///< A planned copy is missing.
    Drain, ///< The copy replaces one on a leaving target.
    Demand, ///< Additional copy of an artifact in demand.
    MakeRoom, ///< The copy is unloaded to make room for a load.
    NotPlanned, ///< The plan does not contain the artifact.
    NotAccounted, ///< No recorded order explains the artifact.
    Repeat, ///< The order has not been answered yet.
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

/// An order requested by placement.
struct PlacementOrder {
    OrderKind kind { OrderKind::Load };
    std::string target;
    std::string artifact;
    std::string baseModel; ///< Empty for a model.
    uint64_t memoryBytes { 0 };
    MoveReason reason { MoveReason::PlannedCopy };
    std::string from; ///< Load: leaving target whose copy is replaced. Unload: artifact that needs the room.

    bool operator==(const PlacementOrder&) const = default;
};

/// Artifacts by target.
using CopiesByTarget = std::map<std::string, std::set<std::string>>;

/// Input of a placement decision.
struct PlacementInput {
    const Plan* plan { nullptr };
    std::vector<PlacementTarget> targets;
    DemandByArtifact demand;
    LoadBudget budget;
    TimePoint now;
};

/// Result of a placement decision.
struct PlacementDecision {
    std::vector<PlacementOrder> orders; ///< To be executed in sequence.
    std::vector<std::string> unplaced; ///< Planned artifacts with too few copies because memory is insufficient.
};

} // namespace cyclamenstair

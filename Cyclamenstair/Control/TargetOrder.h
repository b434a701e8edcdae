#pragma once

#include <Cyclamenstair/Placement/PlacementTypes.h>

namespace cyclamenstair {

/// Order to load or unload a model, or an adapter of a model, at a target.
struct TargetOrder {
    std::string target;
    OrderKind kind { OrderKind::Load };
    std::string model;
    std::string adapter; ///< Empty for the model itself.
    MoveReason reason { MoveReason::PlannedCopy };
    double demand { 0 }; ///< Requests in progress over all nodes for the model that benefits from the order.
    uint32_t copies { 0 }; ///< Copies of that model; a copy that the order loads is included.
    std::string replacementModel; ///< Model in favour of which another is unloaded; empty for loads.
};

/// Conditions under which a target accepts an order.
struct OrderPreconditions {
    std::string holder; ///< Id of the node that holds the order lease.
    int64_t fencingToken { 0 }; ///< The target refuses tokens lower than one it has accepted.
    int64_t expectedAcceptedOrders { 0 }; ///< The target refuses if its number of accepted orders differs.
};

/// Response of a target to an order.
enum class OrderAnswer : uint8_t {
    Accepted, ///< The order is being carried out.
    AlreadyHolds, ///< The target is already in the requested state.
    Conflict, ///< Another order is in progress, or the target has accepted orders unknown to the sender.
    StaleFencingToken, ///< The target has accepted an order with a newer fencing token.
    Refused, ///< Any other refusal; the order is not carried out.
    Unclear, ///< Any other response; the order may be carried out.
};

template <> struct EnumNames<OrderAnswer> {
    static constexpr auto table = std::to_array<EnumName<OrderAnswer>>({
        { OrderAnswer::Accepted, "accepted" },
        { OrderAnswer::AlreadyHolds, "already_holds" },
        { OrderAnswer::Conflict, "conflict" },
        { OrderAnswer::StaleFencingToken, "old_fence" },
        { OrderAnswer::Refused, "refused" },
        { OrderAnswer::Unclear, "unclear" },
    });
};

} // namespace cyclamenstair

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
    double demand { 0 }; ///< Requests in progress for the model that the order serves, over all nodes.
    uint32_t copies { 0 }; ///< Copies of that model, with this one.
    std::string roomFor; ///< Model for which an unload makes room; empty for loads.
};

/// Right under which an order is given.
struct OrderRight {
    std::string holder;
    int64_t fencingNumber { 0 };
    int64_t expectedOrders { 0 }; ///< Orders that the target has accepted so far; it refuses if they differ.
};

/// How a target answered an order.
enum class OrderAnswer : uint8_t {
    Accepted, ///< It is being carried out.
    AlreadyHolds,
    Conflict, ///< Another order is in progress, or orders have been accepted that the sender does not know of.
    OldFence, ///< A newer holder has given orders.
    Refused, ///< Any other refusal; nothing was done.
    Unclear, ///< Any other answer; the order may be carried out.
};

template <> struct EnumNames<OrderAnswer> {
    static constexpr auto table = std::to_array<EnumName<OrderAnswer>>({
        { OrderAnswer::Accepted, "accepted" },
        { OrderAnswer::AlreadyHolds, "already_holds" },
        { OrderAnswer::Conflict, "conflict" },
        { OrderAnswer::OldFence, "old_fence" },
        { OrderAnswer::Refused, "refused" },
        { OrderAnswer::Unclear, "unclear" },
    });
};

} // namespace cyclamenstair

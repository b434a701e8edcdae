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

} // namespace cyclamenstair

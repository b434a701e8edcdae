#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Sharded.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenstair {

/// State of a node incarnation's orders to a target at epochs before the queried one.
enum class OrderClosure : uint8_t {
    Open, ///< An order is in progress, or the node still owns the target.
    Closed, ///< No order is in progress and none will be sent at an epoch before the queried one.
    NotKnown, ///< The queried incarnation is not the one that responds.
};

template <> struct EnumNames<OrderClosure> {
    static constexpr auto table = std::to_array<EnumName<OrderClosure>>({
        { OrderClosure::Open, "open" },
        { OrderClosure::Closed, "closed" },
        { OrderClosure::NotKnown, "not_known" },
    });
};

/// Closure of a node's orders to a target.
struct OrderClosureState {
    OrderClosure closure { OrderClosure::NotKnown };
    std::vector<std::string> unanswered; ///< Artifacts with an unanswered order.
};

/// Tracks the orders that this process sends to targets, so that a node that lost ownership can confirm that it sends
/// no further orders. Thread-safe.
class OrderTracker {
public:
    /// Records that an order is about to be sent. Returns false if the epoch was closed; the order must then not be
    /// sent.
    bool begin(const std::string& target, uint64_t epoch);

    /// Records that an order's attempt ended. `isAnswered` is true if the target answered or the order was not sent.
    void end(const std::string& target, const std::string& artifact, bool isAnswered);

    /// Closes all epochs before `epoch`, so that no further order with such an epoch is sent. Returns the closure of
    /// the earlier orders.
    OrderClosureState closeEpochsBefore(const std::string& target, uint64_t epoch);

private:
    struct TargetOrders {
        uint64_t minOpenEpoch { 0 };
        size_t inProgress { 0 };
        std::set<std::string> unanswered;
    };

    Sharded<std::string, std::map<std::string, TargetOrders>> m_targets;
};

} // namespace cyclamenstair

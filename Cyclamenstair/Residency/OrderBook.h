#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Sharded.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Whether a node incarnation can still send orders to a target.
enum class OrderClosure : uint8_t {
    Open, ///< An order is in progress, or the node did not lose ownership.
    Closed, ///< No order is in progress and none will be sent at an epoch before the one asked for.
    NotKnown, ///< The incarnation asked for is not the one that answers.
};

template <> struct EnumNames<OrderClosure> {
    static constexpr auto table = std::to_array<EnumName<OrderClosure>>({
        { OrderClosure::Open, "open" },
        { OrderClosure::Closed, "closed" },
        { OrderClosure::NotKnown, "not_known" },
    });
};

/// State of a node's own orders to a target.
struct OrderClosureState {
    OrderClosure closure { OrderClosure::NotKnown };
    std::vector<std::string> unanswered; ///< Artifacts for which an order got no answer.
};

/// Orders that this process sends to targets. It lets a node that lost ownership confirm that its orders are closed.
/// Callable from many threads.
class OrderBook {
public:
    /// Notes that an order is about to be sent. Returns false if the epoch was closed; the order must not be sent then.
    bool begin(const std::string& target, uint64_t epoch);

    /// Notes that an order's attempt ended; `isAnswered` tells whether the target answered or the order was not sent.
    void end(const std::string& target, const std::string& artifact, bool isAnswered);

    /// Closes all epochs before `epoch`: no order of them is sent from now on.
    OrderClosureState close(const std::string& target, uint64_t epoch);

private:
    struct Book {
        uint64_t closedBefore { 0 };
        size_t inProgress { 0 };
        std::set<std::string> unanswered;
    };

    Sharded<std::string, std::map<std::string, Book>> m_books;
};

} // namespace cyclamenstair

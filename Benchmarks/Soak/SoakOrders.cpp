#include <Benchmarks/Soak/SoakOrders.h>

#include <Cyclamenstair/Core/Time.h>

#include <algorithm>
#include <sstream>

namespace cyclamenstair {

namespace {

    /// Minimum time between orders of two nodes: the default of control.order_gap_ms.
    constexpr auto orderGap = milliseconds(3000);

    /// An order that an engine accepted.
    struct Order {
        TimePoint at;
        std::string holder;
        int64_t fencingToken { 0 };
    };

    std::string describeOrders(const Order& previous, const Order& order)
    {
        std::ostringstream text;
        text << previous.holder << " with " << previous.fencingToken << ", " << order.holder << " with "
             << order.fencingToken << ", " << toMilliseconds(order.at - previous.at) << " ms later";
        return text.str();
    }

} // namespace

std::vector<std::string> findOrderConflicts(const std::vector<std::unique_ptr<RegisteredTargetStandIn>>& engines)
{
    std::vector<Order> orders;
    for (const auto& engine : engines) {
        const auto accepted = engine->orders();
        const auto times = engine->orderTimes();
        for (size_t i = 0; i < std::min(accepted.size(), times.size()); ++i)
            orders.push_back({ times[i], accepted[i].first, accepted[i].second });
    }
    std::sort(orders.begin(), orders.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    std::vector<std::string> conflicts;
    for (size_t i = 1; i < orders.size(); ++i) {
        const auto& previous = orders[i - 1];
        const auto& order = orders[i];
        const bool isTooSoon = order.fencingToken == previous.fencingToken || order.at - previous.at < orderGap;
        if (order.fencingToken < previous.fencingToken || (order.holder != previous.holder && isTooSoon))
            conflicts.push_back(describeOrders(previous, order));
    }
    return conflicts;
}

} // namespace cyclamenstair

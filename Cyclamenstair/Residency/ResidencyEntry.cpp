#include <Cyclamenstair/Residency/ResidencyEntry.h>

#include <algorithm>

namespace cyclamenstair {

bool ResidencyEntry::hasOrder(OrderKind kind) const
{
    return std::any_of(orders.begin(), orders.end(), [&](const auto& order) { return order.kind == kind; });
}

} // namespace cyclamenstair

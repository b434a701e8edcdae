#include <Cyclamenstair/Residency/OrderTracker.h>

#include <algorithm>
#include <cassert>

namespace cyclamenstair {

bool OrderTracker::begin(const std::string& target, uint64_t epoch)
{
    return m_targets.withShard(target, [&](auto& targets) {
        auto& orders = targets[target];
        if (epoch < orders.minOpenEpoch)
            return false;
        ++orders.inProgress;
        return true;
    });
}

void OrderTracker::end(const std::string& target, const std::string& artifact, bool isAnswered)
{
    m_targets.withShard(target, [&](auto& targets) {
        auto& orders = targets[target];
        assert(orders.inProgress > 0);
        --orders.inProgress;
        if (!isAnswered)
            orders.unanswered.insert(artifact);
    });
}

OrderClosureState OrderTracker::closeEpochsBefore(const std::string& target, uint64_t epoch)
{
    return m_targets.withShard(target, [&](auto& targets) {
        auto& orders = targets[target];
        orders.minOpenEpoch = std::max(orders.minOpenEpoch, epoch);
        OrderClosureState state;
        state.closure = orders.inProgress > 0 ? OrderClosure::Open : OrderClosure::Closed;
        state.unanswered.assign(orders.unanswered.begin(), orders.unanswered.end());
        return state;
    });
}

} // namespace cyclamenstair

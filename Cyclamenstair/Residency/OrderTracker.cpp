#include <Cyclamenstair/Residency/OrderTracker.h>

#include <algorithm>
#include <cassert>

namespace cyclamenstair {

bool OrderTracker::begin(const std::string& target, uint64_t epoch)
{
    return m_targets.withShard(target, [&](auto& books) {
        auto& book = books[target];
        if (epoch < book.minOpenEpoch)
            return false;
        ++book.inProgress;
        return true;
    });
}

void OrderTracker::end(const std::string& target, const std::string& artifact, bool isAnswered)
{
    m_targets.withShard(target, [&](auto& books) {
        auto& book = books[target];
        assert(book.inProgress > 0);
        --book.inProgress;
        if (!isAnswered)
            book.unanswered.insert(artifact);
    });
}

OrderClosureState OrderTracker::closeEpochsBefore(const std::string& target, uint64_t epoch)
{
    return m_targets.withShard(target, [&](auto& books) {
        auto& book = books[target];
        book.minOpenEpoch = std::max(book.minOpenEpoch, epoch);
        OrderClosureState state;
        state.closure = book.inProgress > 0 ? OrderClosure::Open : OrderClosure::Closed;
        state.unanswered.assign(book.unanswered.begin(), book.unanswered.end());
        return state;
    });
}

} // namespace cyclamenstair

#include <Cyclamenstair/Residency/OrderBook.h>

#include <algorithm>
#include <cassert>

namespace cyclamenstair {

bool OrderBook::begin(const std::string& target, uint64_t epoch)
{
    return m_books.withShard(target, [&](auto& books) {
        auto& book = books[target];
        if (epoch < book.closedBefore)
            return false;
        ++book.inProgress;
        return true;
    });
}

void OrderBook::end(const std::string& target, const std::string& artifact, bool isAnswered)
{
    m_books.withShard(target, [&](auto& books) {
        auto& book = books[target];
        assert(book.inProgress > 0);
        --book.inProgress;
        if (!isAnswered)
            book.unanswered.insert(artifact);
    });
}

OrderClosureState OrderBook::close(const std::string& target, uint64_t epoch)
{
    return m_books.withShard(target, [&](auto& books) {
        auto& book = books[target];
        book.closedBefore = std::max(book.closedBefore, epoch);
        OrderClosureState state;
        state.closure = book.inProgress > 0 ? OrderClosure::Open : OrderClosure::Closed;
        state.unanswered.assign(book.unanswered.begin(), book.unanswered.end());
        return state;
    });
}

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Http/ConnectionPool.h>
#include <Cyclamenstair/Http/EventLoop.h>

#include <set>

namespace cyclamenstair {

class RequestExchange;

/// Event loop that serves callers, with its own pool of connections to targets.
class RequestLoop {
public:
    RequestLoop(EntryState& state, uint64_t seed);

    EventLoop& loop() { return m_loop; }
    EntryState& state() { return *m_state; }
    ConnectionPool& pool() { return m_pool; }
    Random& random() { return m_random; }

    /// Registers a request in progress. Called on the loop's thread, as is remove().
    void add(RequestExchange& exchange) { m_exchanges.insert(&exchange); }
    void remove(RequestExchange& exchange) { m_exchanges.erase(&exchange); }

    /// Ends all requests in progress with an answer, asynchronously on the loop's thread.
    void endRequests();

private:
    EntryState* m_state;
    std::set<RequestExchange*> m_exchanges; ///< Outlives m_loop, whose pending handlers own the exchanges.
    EventLoop m_loop;
    ConnectionPool m_pool;
    Random m_random;
};

} // namespace cyclamenstair

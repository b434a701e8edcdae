#pragma once

#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Http/ConnectionPool.h>
#include <Cyclamenstair/Http/EventLoop.h>

namespace cyclamenstair {

/// Event loop that serves callers, with its own pool of connections to targets.
class RequestLoop {
public:
    RequestLoop(EntryState& state, uint64_t seed);

    EventLoop& loop() { return m_loop; }
    EntryState& state() { return *m_state; }
    ConnectionPool& pool() { return m_pool; }
    Random& random() { return m_random; }

private:
    EntryState* m_state;
    EventLoop m_loop;
    ConnectionPool m_pool;
    Random m_random;
};

} // namespace cyclamenstair

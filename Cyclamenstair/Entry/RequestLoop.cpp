#include <Cyclamenstair/Entry/RequestLoop.h>

namespace cyclamenstair {

RequestLoop::RequestLoop(EntryState& state, uint64_t seed)
    : m_state(&state)
    , m_pool(m_loop.context(), ClientConnectionSettings {})
    , m_random(seed)
{
}

} // namespace cyclamenstair

#include <Cyclamenstair/Entry/RequestLoop.h>

#include <Cyclamenstair/Entry/RequestExchange.h>

namespace cyclamenstair {

RequestLoop::RequestLoop(EntryState& state, uint64_t seed)
    : m_state(&state)
    , m_pool(m_loop.context(), ClientConnectionSettings {})
    , m_random(seed)
{
}

void RequestLoop::endRequests()
{
    m_loop.post([this] {
        std::vector<std::shared_ptr<RequestExchange>> exchanges;
        for (auto* exchange : m_exchanges)
            exchanges.push_back(exchange->shared_from_this());
        for (const auto& exchange : exchanges)
            exchange->endBeforeExit();
    });
}

} // namespace cyclamenstair

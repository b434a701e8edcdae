#include <Cyclamenstair/Routing/TargetTable.h>

#include <cassert>

namespace cyclamenstair {

void TargetTable::beginAttempt(const std::string& target)
{
    m_shards.withShard(target, [&](Loads& loads) { ++loads[target].inFlight; });
}

void TargetTable::endAttempt(const std::string& target, bool isSuccess)
{
    m_shards.withShard(target, [&](Loads& loads) {
        auto& load = loads[target];
        assert(load.inFlight > 0);
        --load.inFlight;
        ++(isSuccess ? load.finished : load.failed);
    });
}

TargetLoad TargetTable::load(const std::string& target) const
{
    return m_shards.withShard(target, [&](const Loads& loads) {
        const auto found = loads.find(target);
        return found == loads.end() ? TargetLoad() : found->second;
    });
}

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Core/Time.h>

#include <StandIns/RegistryStoreStandIn.h>

namespace cyclamenstair {

/// Writes entries of targets that come from another writer: fields that are missing or of another type, and bytes that
/// are no JSON. None of them names a target, and all ids begin with `foreignMark`. Belongs to the thread of the run.
class DayForeignEntries {
public:
    DayForeignEntries(RegistryStoreStandIn& store, uint64_t seed)
        : m_store(&store)
        , m_random(seed)
    {
    }

    /// Writes or removes an entry when it is time. `entry` is one of a target.
    void tick(const std::string& entry);

private:
    RegistryStoreStandIn* m_store;
    Random m_random;
    TimePoint m_writtenAt;
};

} // namespace cyclamenstair

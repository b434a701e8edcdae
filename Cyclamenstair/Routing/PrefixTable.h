#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <unordered_map>

namespace cyclamenstair {

/// Recently seen prompt prefixes. Affinity only helps prefixes that repeat. Thread-safe.
class PrefixTable {
public:
    /// Records the prefix; returns true if it was recorded within `repeatWindow` before.
    bool recordAndCheckRepeat(uint64_t hash, TimePoint now);

private:
    /// Size at which a shard evicts expired entries. 16 shards hold about 64 K prefixes in 2 MB.
    static constexpr size_t maxEntriesPerShard = 4096;

    /// Engines' prefix caches are small, so a prefix not used for longer is probably evicted there.
    static constexpr Duration repeatWindow = std::chrono::seconds(60);

    using Prefixes = std::unordered_map<uint64_t, TimePoint>;
    Sharded<uint64_t, Prefixes> m_shards;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <unordered_map>

namespace cyclamenstair {

/// Prompt prefixes that this node saw lately. Affinity pays only for prefixes that repeat. Callable from many threads.
class PrefixTable {
public:
    /// Records the prefix and returns whether it was seen within the retention before.
    bool see(uint64_t hash, TimePoint now);

private:
    /// Entries of one shard beyond which old entries are dropped; 16 shards then hold about 64 K prefixes in 2 MB.
    static constexpr size_t maxEntries = 4096;

    /// Engines' prefix caches are small, so that a prefix unseen for longer is likely gone.
    static constexpr Duration retention = std::chrono::seconds(60);

    using Prefixes = std::unordered_map<uint64_t, TimePoint>;
    Sharded<uint64_t, Prefixes> m_shards;
};

} // namespace cyclamenstair

#include <Cyclamenstair/Routing/PrefixTable.h>

namespace cyclamenstair {

bool PrefixTable::see(uint64_t hash, TimePoint now)
{
    return m_shards.withShard(hash, [&](Prefixes& prefixes) {
        if (prefixes.size() >= maxEntries) {
            std::erase_if(prefixes, [&](const auto& entry) { return now - entry.second > retention; });
            if (prefixes.size() >= maxEntries)
                prefixes.clear();
        }
        const auto [entry, isNew] = prefixes.emplace(hash, now);
        const bool wasSeen = !isNew && now - entry->second <= retention;
        entry->second = now;
        return wasSeen;
    });
}

} // namespace cyclamenstair

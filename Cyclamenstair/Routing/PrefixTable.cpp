#include <Cyclamenstair/Routing/PrefixTable.h>

namespace cyclamenstair {

bool PrefixTable::recordAndCheckRepeat(uint64_t hash, TimePoint now)
{
    return m_shards.withShard(hash, [&](Prefixes& prefixes) {
        if (prefixes.size() >= maxEntriesPerShard) {
            std::erase_if(prefixes, [&](const auto& entry) { return now - entry.second > repeatWindow; });
            if (prefixes.size() >= maxEntriesPerShard)
                prefixes.clear();
        }
        const auto [entry, isInserted] = prefixes.emplace(hash, now);
        const bool isRepeat = !isInserted && now - entry->second <= repeatWindow;
        entry->second = now;
        return isRepeat;
    });
}

} // namespace cyclamenstair

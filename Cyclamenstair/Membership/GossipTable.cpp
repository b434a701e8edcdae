#include <Cyclamenstair/Membership/GossipTable.h>

#include <algorithm>
#include <unordered_map>

namespace cyclamenstair {

bool GossipTable::apply(GossipEntry entry, TimePoint now)
{
    return m_shards.withShard(entry.key, [&](Slots& slots) {
        auto& slot = slots[entry.key];
        if (entry.version <= slot.version)
            return false;
        slot = { entry.version, std::move(entry.payload), now };
        return true;
    });
}

void GossipTable::publish(const std::string& key, uint64_t epoch, std::string payload, TimePoint now)
{
    m_shards.withShard(key, [&](Slots& slots) {
        auto& slot = slots[key];
        // An entry of a later epoch belongs to another writer and is not replaced.
        if (slot.version.epoch > epoch)
            return;
        const uint64_t counter = slot.version.epoch == epoch ? slot.version.counter + 1 : 1;
        slot = { { epoch, counter }, std::move(payload), now };
    });
}

std::optional<GossipEntry> GossipTable::find(const std::string& key) const
{
    return m_shards.withShard(key, [&](const Slots& slots) -> std::optional<GossipEntry> {
        const auto slot = slots.find(key);
        if (slot == slots.end())
            return std::nullopt;
        return GossipEntry { key, slot->second.version, slot->second.payload };
    });
}

std::vector<GossipEntry> GossipTable::entriesWithPrefix(const std::string& prefix) const
{
    std::vector<GossipEntry> found;
    m_shards.forEachShard([&](const Slots& slots) {
        for (auto slot = slots.lower_bound(prefix); slot != slots.end() && slot->first.starts_with(prefix); ++slot)
            found.push_back({ slot->first, slot->second.version, slot->second.payload });
    });
    std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.key < b.key; });
    return found;
}

std::vector<std::string> GossipTable::recentKeys(const std::string& prefix, Duration limit, TimePoint now) const
{
    std::vector<std::string> keys;
    m_shards.forEachShard([&](const Slots& slots) {
        for (auto slot = slots.lower_bound(prefix); slot != slots.end() && slot->first.starts_with(prefix); ++slot) {
            if (now - slot->second.changedAt <= limit)
                keys.push_back(slot->first);
        }
    });
    std::sort(keys.begin(), keys.end());
    return keys;
}

std::vector<GossipDigestRow> GossipTable::digest() const
{
    std::vector<GossipDigestRow> rows;
    m_shards.forEachShard([&](const Slots& slots) {
        for (const auto& [key, slot] : slots)
            rows.push_back({ key, slot.version });
    });
    return rows;
}

GossipDifference GossipTable::compare(const std::vector<GossipDigestRow>& digest) const
{
    std::unordered_map<std::string, GossipVersion> theirs;
    for (const auto& row : digest)
        theirs[row.key] = row.version;
    GossipDifference difference;
    m_shards.forEachShard([&](const Slots& slots) {
        for (const auto& [key, slot] : slots) {
            const auto other = theirs.find(key);
            if (other == theirs.end() || other->second < slot.version)
                difference.newer.push_back({ key, slot.version, slot.payload });
        }
    });
    for (const auto& row : digest) {
        const auto own = find(row.key);
        if (!own || own->version < row.version)
            difference.wanted.push_back(row.key);
    }
    return difference;
}

std::vector<GossipEntry> GossipTable::entries(const std::vector<std::string>& keys) const
{
    std::vector<GossipEntry> found;
    for (const auto& key : keys) {
        if (auto entry = find(key))
            found.push_back(std::move(*entry));
    }
    return found;
}

void GossipTable::removeStale(const std::string& prefix, Duration limit, TimePoint now)
{
    m_shards.forEachShard([&](Slots& slots) {
        std::erase_if(slots,
            [&](const auto& row) { return row.first.starts_with(prefix) && now - row.second.changedAt > limit; });
    });
}

} // namespace cyclamenstair

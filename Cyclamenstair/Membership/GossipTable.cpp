#include <Cyclamenstair/Membership/GossipTable.h>

#include <Cyclamenstair/Core/Hash.h>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace cyclamenstair {

namespace {

    size_t bucketOf(uint64_t keyHash) { return keyHash % GossipTable::bucketCount; }

    uint32_t shortHash(uint64_t hash) { return static_cast<uint32_t>(hash >> 32); }

    /// Returns by how much a heartbeat is ahead of the known one; negative or 0 if it is not.
    int16_t beatsAhead(uint16_t count, uint32_t known)
    {
        return static_cast<int16_t>(static_cast<uint16_t>(count - static_cast<uint16_t>(known)));
    }

    /// Bytes of an entry in a message: key, payload and about 64 bytes for the rest.
    size_t entryBytes(const GossipEntry& entry) { return entry.key.size() + entry.payload.size() + 64; }

    std::vector<bool> bucketSet(const std::vector<uint16_t>& buckets)
    {
        std::vector<bool> set(GossipTable::bucketCount, false);
        for (const auto bucket : buckets) {
            if (bucket < set.size())
                set[bucket] = true;
        }
        return set;
    }

} // namespace

GossipTable::GossipTable(std::vector<GossipRetention> retentions)
    : m_retentions(std::move(retentions))
{
}

bool GossipTable::isExpired(const Slot& slot, TimePoint now)
{
    return slot.retention > Duration(0) && now - slot.advancedAt > slot.retention;
}

GossipEntry GossipTable::entryOf(const std::string& key, const Slot& slot, TimePoint now)
{
    return { key, slot.version, slot.payload, slot.beat, std::max(Duration(0), now - slot.advancedAt) };
}

Duration GossipTable::retentionOf(const std::string& key) const
{
    for (const auto& retention : m_retentions) {
        if (key.starts_with(retention.prefix))
            return retention.limit;
    }
    return Duration(0);
}

GossipTable::Slot GossipTable::makeSlot(
    const std::string& key, GossipVersion version, std::string payload, TimePoint advancedAt) const
{
    Slot slot;
    slot.version = version;
    slot.payload = std::move(payload);
    slot.keyHash = stableHash(key);
    slot.stateHash = stableHash(key, stableHash(std::to_string(version.epoch), version.counter));
    slot.retention = retentionOf(key);
    slot.advancedAt = advancedAt;
    return slot;
}

bool GossipTable::apply(GossipEntry entry, TimePoint now)
{
    const auto retention = retentionOf(entry.key);
    if (retention > Duration(0) && entry.age > retention)
        return false;
    return m_shards.withShard(entry.key, [&](Slots& slots) {
        auto& slot = slots[entry.key];
        const bool isNewer = entry.version > slot.version || (entry.version == slot.version && entry.beat > slot.beat);
        if (!isNewer)
            return false;
        slot = makeSlot(entry.key, entry.version, std::move(entry.payload), now - entry.age);
        slot.beat = entry.beat;
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
        slot = makeSlot(key, { epoch, counter }, std::move(payload), now);
    });
}

void GossipTable::heartbeat(const std::string& key, uint64_t epoch, std::string payload, TimePoint now)
{
    const bool isSame = m_shards.withShard(key, [&](Slots& slots) {
        const auto slot = slots.find(key);
        if (slot == slots.end() || slot->second.version.epoch != epoch || slot->second.payload != payload)
            return false;
        ++slot->second.beat;
        slot->second.advancedAt = now;
        return true;
    });
    if (!isSame)
        publish(key, epoch, std::move(payload), now);
}

std::optional<GossipEntry> GossipTable::find(const std::string& key) const
{
    return m_shards.withShard(key, [&](const Slots& slots) -> std::optional<GossipEntry> {
        const auto slot = slots.find(key);
        if (slot == slots.end())
            return std::nullopt;
        return GossipEntry { key, slot->second.version, slot->second.payload, slot->second.beat, Duration(0) };
    });
}

std::vector<GossipEntry> GossipTable::entriesWithPrefix(const std::string& prefix) const
{
    auto found = liveEntries(prefix, TimePoint::min());
    for (auto& entry : found)
        entry.age = Duration(0);
    return found;
}

std::vector<GossipEntry> GossipTable::liveEntries(const std::string& prefix, TimePoint now) const
{
    std::vector<GossipEntry> found;
    m_shards.forEachShard([&](const Slots& slots) {
        for (auto slot = slots.lower_bound(prefix); slot != slots.end() && slot->first.starts_with(prefix); ++slot) {
            if (now == TimePoint::min() || !isExpired(slot->second, now))
                found.push_back(entryOf(slot->first, slot->second, std::max(now, slot->second.advancedAt)));
        }
    });
    std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.key < b.key; });
    return found;
}

std::vector<std::string> GossipTable::recentKeys(const std::string& prefix, Duration limit, TimePoint now) const
{
    std::vector<std::string> keys;
    m_shards.forEachShard([&](const Slots& slots) {
        for (auto slot = slots.lower_bound(prefix); slot != slots.end() && slot->first.starts_with(prefix); ++slot) {
            if (now - slot->second.advancedAt <= limit)
                keys.push_back(slot->first);
        }
    });
    std::sort(keys.begin(), keys.end());
    return keys;
}

std::vector<uint32_t> GossipTable::bucketHashes(TimePoint now) const
{
    // The exclusive or makes the hash independent of the order of the entries.
    std::vector<uint32_t> hashes(bucketCount, 0);
    m_shards.forEachShard([&](const Slots& slots) {
        for (const auto& [key, slot] : slots) {
            if (!isExpired(slot, now))
                hashes[bucketOf(slot.keyHash)] ^= shortHash(slot.stateHash);
        }
    });
    return hashes;
}

std::vector<uint16_t> GossipTable::differingBuckets(const std::vector<uint32_t>& hashes, TimePoint now) const
{
    const auto own = bucketHashes(now);
    std::vector<uint16_t> differing;
    for (size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (bucket >= hashes.size() || hashes[bucket] != own[bucket])
            differing.push_back(static_cast<uint16_t>(bucket));
    }
    return differing;
}

std::vector<GossipRow> GossipTable::rows(const std::vector<uint16_t>& buckets, TimePoint now) const
{
    const auto wanted = bucketSet(buckets);
    std::vector<GossipRow> rows;
    m_shards.forEachShard([&](const Slots& slots) {
        for (const auto& [key, slot] : slots) {
            if (wanted[bucketOf(slot.keyHash)] && !isExpired(slot, now))
                rows.push_back({ slot.keyHash, slot.version });
        }
    });
    return rows;
}

GossipDifference GossipTable::compare(
    const std::vector<uint16_t>& buckets, const std::vector<GossipRow>& rows, TimePoint now) const
{
    const auto compared = bucketSet(buckets);
    std::unordered_map<uint64_t, GossipVersion> theirs;
    for (const auto& row : rows)
        theirs[row.keyHash] = row.version;
    GossipDifference difference;
    size_t bytes = 0;
    m_shards.forEachShard([&](const Slots& slots) {
        for (const auto& [key, slot] : slots) {
            if (!compared[bucketOf(slot.keyHash)])
                continue;
            const auto other = theirs.find(slot.keyHash);
            const bool isKnown = other != theirs.end();
            if ((!isKnown || other->second < slot.version) && !isExpired(slot, now) && bytes < maxEntryBytes) {
                difference.newer.push_back(entryOf(key, slot, now));
                bytes += entryBytes(difference.newer.back());
            }
            // What is left in `theirs` is newer at the other side.
            if (isKnown && other->second <= slot.version)
                theirs.erase(other);
        }
    });
    for (const auto& [keyHash, version] : theirs)
        difference.wanted.push_back(keyHash);
    return difference;
}

std::vector<GossipEntry> GossipTable::entriesByHash(const std::vector<uint64_t>& keyHashes, TimePoint now) const
{
    const std::unordered_set<uint64_t> wanted(keyHashes.begin(), keyHashes.end());
    std::vector<GossipEntry> found;
    size_t bytes = 0;
    m_shards.forEachShard([&](const Slots& slots) {
        for (const auto& [key, slot] : slots) {
            if (!wanted.contains(slot.keyHash) || isExpired(slot, now) || bytes >= maxEntryBytes)
                continue;
            found.push_back(entryOf(key, slot, now));
            bytes += entryBytes(found.back());
        }
    });
    return found;
}

std::vector<GossipBeat> GossipTable::freshBeats(
    Duration window, size_t limit, TimePoint now, const std::vector<GossipBeat>& known) const
{
    std::unordered_map<uint32_t, uint16_t> knownByState;
    for (const auto& beat : known)
        knownByState[beat.state] = beat.count;
    std::vector<std::pair<TimePoint, GossipBeat>> fresh;
    m_shards.forEachShard([&](const Slots& slots) {
        for (const auto& [key, slot] : slots) {
            if (slot.beat == 0 || now - slot.advancedAt > window)
                continue;
            const auto other = knownByState.find(shortHash(slot.stateHash));
            if (other == knownByState.end() || beatsAhead(other->second, slot.beat) < 0)
                fresh.push_back({ slot.advancedAt, { shortHash(slot.stateHash), static_cast<uint16_t>(slot.beat) } });
        }
    });
    std::sort(fresh.begin(), fresh.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<GossipBeat> beats;
    for (size_t i = 0; i < std::min(limit, fresh.size()); ++i)
        beats.push_back(fresh[i].second);
    return beats;
}

size_t GossipTable::applyBeats(const std::vector<GossipBeat>& beats, TimePoint now)
{
    std::unordered_map<uint32_t, uint16_t> byState;
    for (const auto& beat : beats)
        byState[beat.state] = beat.count;
    size_t advanced = 0;
    m_shards.forEachShard([&](Slots& slots) {
        for (auto& [key, slot] : slots) {
            const auto beat = byState.find(shortHash(slot.stateHash));
            if (beat == byState.end() || beatsAhead(beat->second, slot.beat) <= 0)
                continue;
            slot.beat += static_cast<uint32_t>(beatsAhead(beat->second, slot.beat));
            slot.advancedAt = now;
            ++advanced;
        }
    });
    return advanced;
}

size_t GossipTable::removeExpired(TimePoint now)
{
    size_t removed = 0;
    m_shards.forEachShard([&](Slots& slots) {
        removed += std::erase_if(slots, [&](const auto& row) { return isExpired(row.second, now); });
    });
    return removed;
}

size_t GossipTable::size() const
{
    size_t count = 0;
    m_shards.forEachShard([&](const Slots& slots) { count += slots.size(); });
    return count;
}

} // namespace cyclamenstair

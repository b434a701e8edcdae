#include <Cyclamenstair/Membership/GossipTable.h>

#include <Cyclamenstair/Core/Hash.h>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace cyclamenstair {

namespace {

    size_t bucketOf(uint64_t keyHash) { return keyHash % GossipTable::bucketCount; }

    uint32_t shortHash(uint64_t hash) { return static_cast<uint32_t>(hash >> 32); }

    /// Returns by how much `count` is ahead of `heartbeat`, modulo 2^16; 0 or negative if it is not ahead.
    int16_t heartbeatLead(uint16_t count, uint32_t heartbeat)
    {
        return static_cast<int16_t>(static_cast<uint16_t>(count - static_cast<uint16_t>(heartbeat)));
    }

    /// Approximate encoded size of an entry: key, payload and 64 bytes of overhead.
    size_t entryBytes(const GossipEntry& entry) { return entry.key.size() + entry.payload.size() + 64; }

    std::vector<bool> bucketMask(const std::vector<uint16_t>& buckets)
    {
        std::vector<bool> mask(GossipTable::bucketCount, false);
        for (const auto bucket : buckets) {
            if (bucket < mask.size())
                mask[bucket] = true;
        }
        return mask;
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
    return { key, slot.version, slot.payload, slot.heartbeat, std::max(Duration(0), now - slot.advancedAt) };
}

Duration GossipTable::retentionOf(const std::string& key) const
{
    for (const auto& retention : m_retentions) {
        if (key.starts_with(retention.prefix))
            return retention.maxAge;
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
        const bool isNewer
            = entry.version > slot.version || (entry.version == slot.version && entry.heartbeat > slot.heartbeat);
        if (!isNewer)
            return false;
        slot = makeSlot(entry.key, entry.version, std::move(entry.payload), now - entry.age);
        slot.heartbeat = entry.heartbeat;
        return true;
    });
}

void GossipTable::publish(const std::string& key, uint64_t epoch, std::string payload, TimePoint now)
{
    m_shards.withShard(key, [&](Slots& slots) {
        auto& slot = slots[key];
        // An entry with a later epoch was written by a newer writer and must not be replaced.
        if (slot.version.epoch > epoch)
            return;
        const uint64_t counter = slot.version.epoch == epoch ? slot.version.counter + 1 : 1;
        slot = makeSlot(key, { epoch, counter }, std::move(payload), now);
    });
}

void GossipTable::publishHeartbeat(const std::string& key, uint64_t epoch, std::string payload, TimePoint now)
{
    const bool isUnchanged = m_shards.withShard(key, [&](Slots& slots) {
        const auto slot = slots.find(key);
        if (slot == slots.end() || slot->second.version.epoch != epoch || slot->second.payload != payload)
            return false;
        ++slot->second.heartbeat;
        slot->second.advancedAt = now;
        return true;
    });
    if (!isUnchanged)
        publish(key, epoch, std::move(payload), now);
}

std::optional<GossipEntry> GossipTable::find(const std::string& key) const
{
    return m_shards.withShard(key, [&](const Slots& slots) -> std::optional<GossipEntry> {
        const auto slot = slots.find(key);
        if (slot == slots.end())
            return std::nullopt;
        return GossipEntry { key, slot->second.version, slot->second.payload, slot->second.heartbeat, Duration(0) };
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

std::vector<std::string> GossipTable::recentKeys(const std::string& prefix, Duration maxAge, TimePoint now) const
{
    std::vector<std::string> keys;
    m_shards.forEachShard([&](const Slots& slots) {
        for (auto slot = slots.lower_bound(prefix); slot != slots.end() && slot->first.starts_with(prefix); ++slot) {
            if (now - slot->second.advancedAt <= maxAge)
                keys.push_back(slot->first);
        }
    });
    std::sort(keys.begin(), keys.end());
    return keys;
}

std::vector<uint32_t> GossipTable::bucketHashes(TimePoint now) const
{
    // XOR makes the hash independent of the order of the entries.
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
    const auto localHashes = bucketHashes(now);
    std::vector<uint16_t> differing;
    for (size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (bucket >= hashes.size() || hashes[bucket] != localHashes[bucket])
            differing.push_back(static_cast<uint16_t>(bucket));
    }
    return differing;
}

std::vector<GossipRow> GossipTable::rows(const std::vector<uint16_t>& buckets, TimePoint now) const
{
    const auto isSelected = bucketMask(buckets);
    std::vector<GossipRow> rows;
    m_shards.forEachShard([&](const Slots& slots) {
        for (const auto& [key, slot] : slots) {
            if (isSelected[bucketOf(slot.keyHash)] && !isExpired(slot, now))
                rows.push_back({ slot.keyHash, slot.version });
        }
    });
    return rows;
}

GossipDifference GossipTable::compare(
    const std::vector<uint16_t>& buckets, const std::vector<GossipRow>& rows, TimePoint now) const
{
    const auto isCompared = bucketMask(buckets);
    std::unordered_map<uint64_t, GossipVersion> peerVersions;
    for (const auto& row : rows)
        peerVersions[row.keyHash] = row.version;
    GossipDifference difference;
    size_t bytes = 0;
    m_shards.forEachShard([&](const Slots& slots) {
        for (const auto& [key, slot] : slots) {
            if (!isCompared[bucketOf(slot.keyHash)])
                continue;
            const auto peerVersion = peerVersions.find(slot.keyHash);
            const bool hasPeerVersion = peerVersion != peerVersions.end();
            if ((!hasPeerVersion || peerVersion->second < slot.version) && !isExpired(slot, now)
                && bytes < maxEntryBytes) {
                difference.newer.push_back(entryOf(key, slot, now));
                bytes += entryBytes(difference.newer.back());
            }
            // Only the rows that are newer at the peer remain in `peerVersions`.
            if (hasPeerVersion && peerVersion->second <= slot.version)
                peerVersions.erase(peerVersion);
        }
    });
    for (const auto& [keyHash, version] : peerVersions)
        difference.missingKeyHashes.push_back(keyHash);
    return difference;
}

std::vector<GossipEntry> GossipTable::entriesByHash(const std::vector<uint64_t>& keyHashes, TimePoint now) const
{
    const std::unordered_set<uint64_t> requested(keyHashes.begin(), keyHashes.end());
    std::vector<GossipEntry> found;
    size_t bytes = 0;
    m_shards.forEachShard([&](const Slots& slots) {
        for (const auto& [key, slot] : slots) {
            if (!requested.contains(slot.keyHash) || isExpired(slot, now) || bytes >= maxEntryBytes)
                continue;
            found.push_back(entryOf(key, slot, now));
            bytes += entryBytes(found.back());
        }
    });
    return found;
}

std::vector<GossipHeartbeat> GossipTable::recentHeartbeats(
    Duration window, size_t limit, TimePoint now, const std::vector<GossipHeartbeat>& peerHeartbeats) const
{
    std::unordered_map<uint32_t, uint16_t> peerCounts;
    for (const auto& heartbeat : peerHeartbeats)
        peerCounts[heartbeat.stateHash] = heartbeat.count;
    std::vector<std::pair<TimePoint, GossipHeartbeat>> recent;
    m_shards.forEachShard([&](const Slots& slots) {
        for (const auto& [key, slot] : slots) {
            if (slot.heartbeat == 0 || now - slot.advancedAt > window)
                continue;
            const auto peerCount = peerCounts.find(shortHash(slot.stateHash));
            if (peerCount == peerCounts.end() || heartbeatLead(peerCount->second, slot.heartbeat) < 0)
                recent.push_back(
                    { slot.advancedAt, { shortHash(slot.stateHash), static_cast<uint16_t>(slot.heartbeat) } });
        }
    });
    std::sort(recent.begin(), recent.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<GossipHeartbeat> heartbeats;
    for (size_t i = 0; i < std::min(limit, recent.size()); ++i)
        heartbeats.push_back(recent[i].second);
    return heartbeats;
}

size_t GossipTable::applyHeartbeats(const std::vector<GossipHeartbeat>& heartbeats, TimePoint now)
{
    std::unordered_map<uint32_t, uint16_t> receivedCounts;
    for (const auto& heartbeat : heartbeats)
        receivedCounts[heartbeat.stateHash] = heartbeat.count;
    size_t advanced = 0;
    m_shards.forEachShard([&](Slots& slots) {
        for (auto& [key, slot] : slots) {
            const auto count = receivedCounts.find(shortHash(slot.stateHash));
            if (count == receivedCounts.end() || heartbeatLead(count->second, slot.heartbeat) <= 0)
                continue;
            slot.heartbeat += static_cast<uint32_t>(heartbeatLead(count->second, slot.heartbeat));
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

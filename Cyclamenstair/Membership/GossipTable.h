#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Version of a gossip entry. The epoch orders writers (incarnation or ledger epoch), the counter the writes of one of
/// them.
struct GossipVersion {
    uint64_t epoch { 0 };
    uint64_t counter { 0 };

    auto operator<=>(const GossipVersion&) const = default;
};

/// Entry that nodes pass to each other; the payload is opaque here.
struct GossipEntry {
    std::string key;
    GossipVersion version;
    std::string payload;
    uint32_t beat { 0 }; ///< Heartbeat of the writer; 0 for entries without heartbeats.
    Duration age { 0 }; ///< Time since the heartbeat or version advanced, as the sender knows it.
};

/// Version of an entry, whose key is given by its hash.
struct GossipRow {
    uint64_t keyHash { 0 };
    GossipVersion version;
};

/// Heartbeat of the entry whose key and version have the hash `state`. Two members with equal 32-bit hashes could keep
/// each other alive; among 175 members the chance of such a pair is 4 in a million.
struct GossipBeat {
    uint32_t state { 0 };
    uint16_t count { 0 }; ///< Low bits of the heartbeat; beats up to 32,767 ahead count as newer.
};

/// What a node finds in the rows of another: the entries that the other side lacks, and the hashes of the keys of which
/// the other side has newer versions.
struct GossipDifference {
    std::vector<GossipEntry> newer;
    std::vector<uint64_t> wanted;
};

/// Entries with the prefix are dropped when they have not advanced for `limit`.
struct GossipRetention {
    std::string prefix;
    Duration limit { 0 };
};

/// Table of versioned entries that anti-entropy exchanges keep equal on all nodes. Callable from many threads.
///
/// An exchange compares hashes over buckets of entries, then versions of the buckets that differ, and passes only the
/// entries that are newer on one side. Heartbeats are no part of the hashes; they are passed separately while they are
/// fresh. An entry carries its age, so that a copy of an entry that stopped advancing expires everywhere at about the
/// same time and cannot be brought back by a peer that still holds it.
class GossipTable {
public:
    static constexpr size_t bucketCount = 32;

    /// Heartbeats are passed on for this long. With exchanges every 500 ms and heartbeats every 2 s, 175 simulated
    /// nodes had no live member that looked silent for 6 s in 100 s; with 1.5 s there was one, with 1 s there were
    /// more.
    static constexpr Duration beatWindow = milliseconds(2500);
    static constexpr size_t maxBeatsInRequest = 64;

    /// Keys and payloads in one message, which leaves half of a frame for the rest.
    static constexpr size_t maxEntryBytes = 512 << 10;
    static constexpr size_t maxBeatsInResponse = 128;

    explicit GossipTable(std::vector<GossipRetention> retentions = {});

    /// Stores the entry if its version or heartbeat is newer than the present one; returns whether it was. An entry
    /// that is older than its retention is refused.
    bool apply(GossipEntry entry, TimePoint now);

    /// Writes `payload` as the next version at `epoch`.
    void publish(const std::string& key, uint64_t epoch, std::string payload, TimePoint now);

    /// Raises the heartbeat of the entry; writes a new version only if payload or epoch changed.
    void heartbeat(const std::string& key, uint64_t epoch, std::string payload, TimePoint now);

    std::optional<GossipEntry> find(const std::string& key) const;

    /// Returns all entries whose key starts with `prefix`, sorted by key. The age is not set.
    std::vector<GossipEntry> entriesWithPrefix(const std::string& prefix) const;

    /// Returns the entries with `prefix` that did not expire, with their age at `now`, sorted by key.
    std::vector<GossipEntry> liveEntries(const std::string& prefix, TimePoint now) const;

    /// Returns the keys with `prefix` whose entries advanced within `limit` before `now`.
    std::vector<std::string> recentKeys(const std::string& prefix, Duration limit, TimePoint now) const;

    /// Returns a hash over keys and versions for each bucket.
    std::vector<uint32_t> bucketHashes(TimePoint now) const;

    /// Returns the buckets whose hash differs from the given one.
    std::vector<uint16_t> differingBuckets(const std::vector<uint32_t>& hashes, TimePoint now) const;

    /// Returns the versions of the entries in the given buckets.
    std::vector<GossipRow> rows(const std::vector<uint16_t>& buckets, TimePoint now) const;

    /// Compares the own entries in `buckets` with the rows that another node has in them. Entries beyond maxEntryBytes
    /// are left for the next exchange.
    GossipDifference compare(
        const std::vector<uint16_t>& buckets, const std::vector<GossipRow>& rows, TimePoint now) const;

    /// Returns the entries whose keys have the given hashes, with their age, up to maxEntryBytes.
    std::vector<GossipEntry> entriesByHash(const std::vector<uint64_t>& keyHashes, TimePoint now) const;

    /// Returns the heartbeats that advanced within `window` before `now` and are not in `known`, the latest first, at
    /// most `limit`.
    std::vector<GossipBeat> freshBeats(
        Duration window, size_t limit, TimePoint now, const std::vector<GossipBeat>& known = {}) const;

    /// Takes heartbeats of other nodes; returns how many advanced.
    size_t applyBeats(const std::vector<GossipBeat>& beats, TimePoint now);

    /// Removes the entries that are older than their retention; returns how many.
    size_t removeExpired(TimePoint now);

    size_t size() const;

private:
    struct Slot {
        GossipVersion version;
        std::string payload;
        uint32_t beat { 0 };
        uint64_t keyHash { 0 };
        uint64_t stateHash { 0 }; ///< Hash of key and version.
        Duration retention { 0 }; ///< 0 for entries that do not expire.
        TimePoint advancedAt;
    };
    using Slots = std::map<std::string, Slot>;

    static bool isExpired(const Slot& slot, TimePoint now);
    static GossipEntry entryOf(const std::string& key, const Slot& slot, TimePoint now);
    Duration retentionOf(const std::string& key) const;
    Slot makeSlot(const std::string& key, GossipVersion version, std::string payload, TimePoint advancedAt) const;

    std::vector<GossipRetention> m_retentions;
    Sharded<std::string, Slots> m_shards;
};

} // namespace cyclamenstair

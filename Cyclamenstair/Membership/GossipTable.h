#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Version of a gossip entry. The epoch (incarnation or ledger epoch) orders writers, the counter orders the writes of
/// one writer.
struct GossipVersion {
    uint64_t epoch { 0 };
    uint64_t counter { 0 };

    auto operator<=>(const GossipVersion&) const = default;
};

/// Replicated entry; the payload is opaque to the table.
struct GossipEntry {
    std::string key;
    GossipVersion version;
    std::string payload;
    uint32_t heartbeat { 0 }; ///< Heartbeat of the writer; 0 for entries without heartbeats.
    Duration age { 0 }; ///< Time since the heartbeat or version last advanced, as measured by the sender.
};

/// Version of an entry that is identified by the hash of its key.
struct GossipRow {
    uint64_t keyHash { 0 };
    GossipVersion version;
};

/// Heartbeat of the entry whose key and version have the hash `stateHash`. Two members with equal 32-bit hashes would
/// advance each other's heartbeat; among 175 members the probability of such a pair is 4 in a million.
struct GossipHeartbeat {
    uint32_t stateHash { 0 };
    uint16_t count { 0 }; ///< Low 16 bits of the heartbeat; a count up to 32,767 ahead is newer.
};

/// Result of comparing the local entries with the rows of a peer.
struct GossipDifference {
    std::vector<GossipEntry> newer; ///< Entries that the peer lacks or has in an older version.
    std::vector<uint64_t> missingKeyHashes; ///< Keys of which the peer has a newer version.
};

/// Entries whose key starts with `prefix` expire when they have not advanced for `maxAge`.
struct GossipRetention {
    std::string prefix;
    Duration maxAge { 0 };
};

/// Table of versioned entries, replicated to all nodes by anti-entropy exchanges. Thread-safe.
///
/// An exchange compares the hashes of buckets of entries, then the versions in buckets that differ, and transfers only
/// entries that are newer on one side. Heartbeats are not part of the hashes; recent ones are transferred separately.
/// An entry carries its age: if it stops advancing, all its copies expire at about the same time, and a peer that still
/// has one cannot restore it.
class GossipTable {
public:
    static constexpr size_t bucketCount = 32;

    /// Age up to which heartbeats are transferred. With exchanges every 500 ms and heartbeats every 2 s, a simulation
    /// of 175 nodes over 100 s showed no live member without a heartbeat for 6 s; 1.5 s gave one, 1 s gave more.
    static constexpr Duration heartbeatWindow = milliseconds(2500);
    static constexpr size_t maxHeartbeatsInRequest = 64;

    /// Size of the entries in one message; the other half of the frame remains for the other fields.
    static constexpr size_t maxEntryBytes = 512 << 10;
    static constexpr size_t maxHeartbeatsInResponse = 128;

    explicit GossipTable(std::vector<GossipRetention> retentions = {});

    /// Stores the entry if its version or heartbeat is newer than that of the stored one, and returns whether it did.
    /// An entry that is older than its retention is rejected.
    bool apply(GossipEntry entry, TimePoint now);

    /// Writes `payload` as the next version at `epoch`. Does nothing if the stored entry has a later epoch.
    void publish(const std::string& key, uint64_t epoch, std::string payload, TimePoint now);

    /// Increments the heartbeat of the entry, or writes a new version if the payload or the epoch changed.
    void publishHeartbeat(const std::string& key, uint64_t epoch, std::string payload, TimePoint now);

    std::optional<GossipEntry> find(const std::string& key) const;

    /// Returns all entries whose key starts with `prefix`, sorted by key. The age is not set.
    std::vector<GossipEntry> entriesWithPrefix(const std::string& prefix) const;

    /// Returns the entries with `prefix` that have not expired, with their age at `now`, sorted by key.
    std::vector<GossipEntry> liveEntries(const std::string& prefix, TimePoint now) const;

    /// Returns the keys with `prefix` whose entries advanced within `maxAge` before `now`.
    std::vector<std::string> recentKeys(const std::string& prefix, Duration maxAge, TimePoint now) const;

    /// Returns a hash over keys and versions for each bucket.
    std::vector<uint32_t> bucketHashes(TimePoint now) const;

    /// Returns the buckets whose hash differs from the given one.
    std::vector<uint16_t> differingBuckets(const std::vector<uint32_t>& hashes, TimePoint now) const;

    /// Returns the versions of the entries in the given buckets.
    std::vector<GossipRow> rows(const std::vector<uint16_t>& buckets, TimePoint now) const;

    /// Compares the local entries in `buckets` with the rows of a peer in the same buckets. Entries beyond
    /// maxEntryBytes are deferred to the next exchange.
    GossipDifference compare(
        const std::vector<uint16_t>& buckets, const std::vector<GossipRow>& rows, TimePoint now) const;

    /// Returns the entries whose keys have the given hashes, with their age, up to maxEntryBytes.
    std::vector<GossipEntry> entriesByHash(const std::vector<uint64_t>& keyHashes, TimePoint now) const;

    /// Returns up to `limit` heartbeats that advanced within `window` before `now`, the latest first. Omits those that
    /// the peer already has according to `peerHeartbeats`.
    std::vector<GossipHeartbeat> recentHeartbeats(
        Duration window, size_t limit, TimePoint now, const std::vector<GossipHeartbeat>& peerHeartbeats = {}) const;

    /// Applies heartbeats received from a peer; returns how many entries advanced.
    size_t applyHeartbeats(const std::vector<GossipHeartbeat>& heartbeats, TimePoint now);

    /// Removes the entries that are older than their retention; returns the number removed.
    size_t removeExpired(TimePoint now);

    size_t size() const;

private:
    struct Slot {
        GossipVersion version;
        std::string payload;
        uint32_t heartbeat { 0 };
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

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
};

/// Key and version of an entry.
struct GossipDigestRow {
    std::string key;
    GossipVersion version;
};

/// What a node answers to a digest: the entries that the other side lacks, and the keys of which the other side has
/// newer versions.
struct GossipDifference {
    std::vector<GossipEntry> newer;
    std::vector<std::string> wanted;
};

/// Table of versioned entries that anti-entropy exchanges keep equal on all nodes. Callable from many threads.
class GossipTable {
public:
    /// Stores the entry if it is newer than the present one; returns whether it was.
    bool apply(GossipEntry entry, TimePoint now);

    /// Writes `payload` as the next version at `epoch`.
    void publish(const std::string& key, uint64_t epoch, std::string payload, TimePoint now);

    std::optional<GossipEntry> find(const std::string& key) const;

    /// Returns all entries whose key starts with `prefix`, sorted by key.
    std::vector<GossipEntry> entriesWithPrefix(const std::string& prefix) const;

    /// Returns the keys with `prefix` whose entries changed within `limit` before `now`.
    std::vector<std::string> recentKeys(const std::string& prefix, Duration limit, TimePoint now) const;

    std::vector<GossipDigestRow> digest() const;
    GossipDifference compare(const std::vector<GossipDigestRow>& digest) const;
    std::vector<GossipEntry> entries(const std::vector<std::string>& keys) const;

    /// Removes entries with `prefix` that have not changed for `limit`.
    void removeStale(const std::string& prefix, Duration limit, TimePoint now);

private:
    struct Slot {
        GossipVersion version;
        std::string payload;
        TimePoint changedAt;
    };
    using Slots = std::map<std::string, Slot>;

    Sharded<std::string, Slots> m_shards;
};

} // namespace cyclamenstair

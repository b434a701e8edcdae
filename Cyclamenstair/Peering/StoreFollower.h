#pragma once

#include <Cyclamenstair/Codec/EntryMessages.h>
#include <Cyclamenstair/Core/Time.h>

#include <set>

namespace cyclamenstair {

/// Settings of a StoreFollower.
struct StoreFollowerSettings {
    /// Time without a confirmation by the collector after which its updates are no longer relied on.
    Duration confirmationLifetime { milliseconds(1200) };
    Duration syncInterval { milliseconds(500) }; ///< Between two requests for all records.
};

/// Decides whether a node can rely on the store updates of its collector instead of watching the store itself. Does no
/// I/O; belongs to one thread.
///
/// The node first requests all records below each prefix. It then applies each update whose sequence number follows the
/// last one. Each summary of the collector names the number of its last update, so a lost update is noticed, and the
/// node requests all records again.
class StoreFollower {
public:
    explicit StoreFollower(size_t prefixCount, StoreFollowerSettings settings = {});

    /// Sets the collector whose updates count. Forgets the state if it is another one than before.
    void setCollector(const std::string& collector);

    /// Returns whether the update is to be applied.
    bool accept(const StoreUpdate& update);

    /// Requests all records again, because an accepted update could not be applied.
    void markRejected() { m_syncedPrefixes.clear(); }

    void handle(const LoadSummary& summary, TimePoint now);

    /// Returns whether all records are to be requested now, and counts the request. They are not while the collector
    /// says that it has none to send: it would be asked twice a second without end.
    bool shouldRequestSync(TimePoint now);

    /// Returns whether the node knows all that its collector has read from the store.
    bool isCurrent(TimePoint now) const;

private:
    bool isSynced() const { return m_syncedPrefixes.size() == m_prefixCount; }

    size_t m_prefixCount;
    StoreFollowerSettings m_settings;
    std::string m_collector;
    std::set<std::string> m_syncedPrefixes;
    uint64_t m_sequence { 0 }; ///< Of the last accepted update.
    bool m_hasCollectorRecords { true }; ///< Until the collector says that it has none.
    TimePoint m_confirmedAt; ///< Time of the last summary that named m_sequence.
    TimePoint m_requestedAt;
};

} // namespace cyclamenstair

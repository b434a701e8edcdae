#pragma once

#include <Cyclamenstair/Entry/StoreWatcher.h>
#include <Cyclamenstair/Peering/StoreFollower.h>

#include <functional>
#include <map>

namespace cyclamenstair {

/// Passes records of the store from a collector to the nodes of its group, so that the calls to the store do not grow
/// with the number of nodes. Pauses this node's watchers while it can rely on its collector. Belongs to one event loop.
class StoreRelay {
public:
    explicit StoreRelay(std::string nodeId);

    /// Adds a watcher whose records are passed on in updates of `prefix`. Called before the watcher starts.
    void add(StoreWatcher& watcher, std::string prefix);

    /// Sets the function that sends an update to the nodes of this node's group.
    void setSender(std::function<void(const StoreUpdate&)> sender) { m_send = std::move(sender); }

    /// Sets a function that is told whether other nodes follow this one.
    void setCollectingHandler(std::function<void(bool)> handler) { m_onCollecting = std::move(handler); }

    /// Sets a function that returns whether the store has answered recently. A watch that waits for changes does not
    /// show that the store no longer answers this node.
    void setContact(std::function<bool()> hasContact) { m_hasContact = std::move(hasContact); }

    /// Returns the sequence number of the last update, or 0 while this node does not reach the store or its records do
    /// not fit into messages. The nodes of its group then watch the store themselves.
    uint64_t sequence() const;

    /// Returns all records, one update for each prefix; empty while sequence() is 0.
    std::vector<StoreUpdate> fullUpdates() const;

    /// Chooses between watching the store and following `collector`, an empty id if this node must watch. Returns
    /// whether all records are to be requested from the collector. `isCollecting` is true if other nodes follow this
    /// one.
    bool update(const std::string& collector, bool isCollecting, TimePoint now);

    /// Handles a message of this node's collector.
    void handle(const StoreUpdate& update);
    void handle(const LoadSummary& summary, TimePoint now) { m_follower.handle(summary, now); }

    /// Returns whether this node watches the store itself.
    bool isWatching() const { return m_isWatching; }
    /// Returns whether this node follows a collector or is about to.
    bool isFollower() const { return m_role == StoreWatcherRole::Follower; }

private:
    struct Source {
        StoreWatcher* watcher;
        std::string prefix;
        std::map<std::string, StoreRecord> records; ///< By key; empty while the watcher is paused.
        size_t bytes { 0 }; ///< Of an update with all records.
    };

    void onRead(size_t source, bool isFull, const StoreChanges& changes);
    /// Checks whether all records fit into messages, and logs a change.
    void updateSizes();
    void setWatching(bool isWatching);

    std::string m_nodeId;
    std::function<void(const StoreUpdate&)> m_send;
    std::function<void(bool)> m_onCollecting;
    std::function<bool()> m_hasContact;
    std::vector<Source> m_sources;
    StoreFollower m_follower;
    uint64_t m_sequence; ///< Starts at a number that no earlier process of this node has used.
    StoreWatcherRole m_role { StoreWatcherRole::Independent };
    bool m_isWatching { true };
    bool m_isTooLarge { false }; ///< The records do not fit into messages.
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Store/StoreListing.h>

#include <platform/PlatformStore.h>

namespace cyclamenstair {

/// Settings of a StoreWatcher.
struct StoreWatcherSettings {
    Duration watchWait { milliseconds(5000) }; ///< A dead watch is detected after this plus a call's timeout.
    /// Upper bound of watchWait while the watcher is confirming.
    Duration confirmingWatchWait { milliseconds(300) };
    Duration watchInterval { milliseconds(350) }; ///< Between two watches; batches changes in quick succession.
    /// After a failed call; doubles up to maxRetryDelay until a watch succeeds. A read that succeeds does not reset it:
    /// a watch whose answer cannot be used would otherwise be followed by a whole read at the shortest pause each time.
    Duration retryDelay { milliseconds(200) };
    /// Lower bound of watchInterval during startDuration. Many nodes that start together, and targets that register
    /// meanwhile, cause changes all the time.
    Duration startWatchInterval { milliseconds(1000) };
    Duration startDuration { milliseconds(6000) };
    /// Instead of startWatchInterval at a node that is about to follow a collector. It accepts only records that are as
    /// recent as its own, so it must not read more often than the collector.
    Duration followerStartInterval { milliseconds(1600) };
    /// Time from the start to the first watch. Until then most nodes and targets that start together have registered.
    Duration firstWatchDelay { milliseconds(1000) };
    Duration maxRetryDelay { milliseconds(800) }; ///< Well below the time within which changes must take effect.
};

/// Part of a watcher's node in passing on the records of the store.
enum class StoreWatcherRole : uint8_t {
    Independent, ///< All nodes watch the store themselves.
    Collector, ///< Other nodes follow this one, or will.
    Follower, ///< Follows a collector, or is about to.
};

/// Tracks the records below a prefix: reads all of them, then watches for changes. Reads all of them again after a
/// failure, if the store has compacted the history, or if it has entered a new era. While another node passes on what
/// it reads, the watcher can be paused and follow that node instead. Belongs to one event loop.
class StoreWatcher {
public:
    struct Handlers {
        std::function<void(const StoreRange&)> onRead; ///< All records that the filter accepts.
        /// Each change in the order of its revision, except writes of records that the filter does not accept.
        std::function<void(const StoreChange&)> onChange;
        /// Other records reach neither the handlers nor the observer.
        StoreRecordFilter filter { [](StoreRecord&) { return true; } };
    };

    StoreWatcher(boost::asio::io_context& context, PlatformStore& store, std::string prefix, Handlers handlers,
        StoreWatcherSettings settings = {});

    void start();

    /// Called with what the watcher itself has read from the store.
    using Observer = std::function<void(bool isFull, const StoreChanges&)>;
    void setObserver(Observer observer) { m_observer = std::move(observer); }

    /// Stops calling the store until resume().
    void pause();
    /// Reads all records and watches again, if the watcher is paused.
    void resume();

    /// Applies records that another node has read, to a paused or running watcher. Returns false if this node has read
    /// later ones, so that it would return to an older state.
    bool follow(bool isFull, const StoreChanges& changes);

    /// Sets the time between two watches. Each node's entry that is written wakes all that watch it.
    void setWatchInterval(Duration interval) { m_settings.watchInterval = interval; }
    /// Sets how long a watch waits for changes; each one that ends advances revision().
    void setWatchWait(Duration wait) { m_settings.watchWait = wait; }

    /// Sets whether watches end soon, so that confirmedAt() is recent while nothing changes.
    void setConfirming(bool isConfirming) { m_isConfirming = isConfirming; }
    /// Returns the time up to which all changes are known, on the clock of suspendAwareNow(): that at which the last
    /// answered call was sent.
    TimePoint confirmedAt() const { return m_confirmedAt; }
    /// Returns confirmedAt() as it was before the last full read. Records that came and left after it were not seen.
    TimePoint gapSince() const { return m_gapSince; }

    void setRole(StoreWatcherRole role) { m_role = role; }

    /// Returns the revision up to which all changes are known.
    int64_t revision() const { return m_revision; }

    /// Returns whether the watcher is running and its last call succeeded.
    bool isWatching() const { return !m_isPaused && m_isConnected && m_revision > 0; }

private:
    void read();
    /// Drops the outcome of a call in progress and reads all records again.
    void restart();
    /// Watches for the first time, unless this node is about to follow a collector and can wait a little longer.
    void watchFirst();
    void watch();
    Duration watchInterval() const;
    bool isStarting() const { return monotonicNow() - m_startedAt < m_settings.startDuration; }
    void notifyObserver(const StoreRange& range);
    void onWatch(StoreWatchOutcome outcome, TimePoint sentAt);
    void onChanges(StoreChanges changes, TimePoint sentAt);
    void onHistoryLost();
    void removeUnused(std::vector<StoreChange>& changes) const;
    void increaseRetryDelay();
    void onFailure(const std::string& message);
    void onNewEra();
    void scheduleNext(Duration delay, void (StoreWatcher::*next)());

    PlatformStore* m_store;
    std::string m_prefix;
    Handlers m_handlers;
    StoreWatcherSettings m_settings;
    StoreListing m_listing;
    boost::asio::steady_timer m_timer;
    int64_t m_contentRevision { 0 }; ///< Revision of the last full read or change; empty watches do not advance it.
    TimePoint m_startedAt;
    int64_t m_revision { 0 }; ///< Changes up to this revision were processed; 0 before the first full read.
    Duration m_retryDelay {};
    StoreWatcherRole m_role { StoreWatcherRole::Independent };
    bool m_isConnected { true };
    bool m_isPaused { false };
    bool m_isConfirming { false };
    bool m_isHistoryLost { false }; ///< The last watch ended so.
    TimePoint m_confirmedAt;
    TimePoint m_gapSince;
    uint64_t m_generation { 0 }; ///< Increases when the watcher is paused; outcomes of earlier calls are ignored.
    Observer m_observer;
};

} // namespace cyclamenstair

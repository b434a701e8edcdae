#pragma once

#include <platform/PlatformStore.h>

namespace cyclamenstair {

/// Settings of a StoreWatcher.
struct StoreWatcherSettings {
    Duration watchWait { milliseconds(5000) }; ///< A dead watch is detected after this plus a call's timeout.
    Duration watchInterval { milliseconds(200) }; ///< Between two watches; batches changes in quick succession.
    Duration retryDelay { milliseconds(200) }; ///< After a failed call; doubles up to maxRetryDelay.
    Duration maxRetryDelay { milliseconds(800) }; ///< Well below the time within which changes must take effect.
};

/// Tracks the records below a prefix: reads all of them, then watches for changes. Reads all of them again after a
/// failure or if the store has compacted the history. Belongs to one event loop.
class StoreWatcher {
public:
    struct Handlers {
        std::function<void(const StoreRange&)> onRead; ///< All records.
        std::function<void(const StoreChange&)> onChange; ///< Each change, in the order of its revision.
    };

    StoreWatcher(boost::asio::io_context& context, PlatformStore& store, std::string prefix, Handlers handlers,
        StoreWatcherSettings settings = {});

    void start() { read(); }

private:
    void read();
    void watch();
    void onWatch(const StoreWatchOutcome& outcome);
    void onFailure(const std::string& message);
    void scheduleNext(Duration delay, void (StoreWatcher::*next)());

    PlatformStore* m_store;
    std::string m_prefix;
    Handlers m_handlers;
    StoreWatcherSettings m_settings;
    boost::asio::steady_timer m_timer;
    int64_t m_revision { 0 }; ///< Changes up to this revision were processed; 0 before the first full read.
    Duration m_retryDelay {};
    bool m_isConnected { true };
};

} // namespace cyclamenstair

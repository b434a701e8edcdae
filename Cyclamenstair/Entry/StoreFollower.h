#pragma once

#include <platform/PlatformStore.h>

namespace cyclamenstair {

/// Settings of a StoreFollower.
struct StoreFollowerSettings {
    Duration watchWait { milliseconds(
        5000) }; ///< A watch that went silent is noticed after this and a call's time-out.
    Duration pause { milliseconds(200) }; ///< Between two watches, so that changes in quick succession share a call.
    Duration retryDelay { milliseconds(200) }; ///< After a call that failed; doubles up to retryLimit.
    Duration retryLimit { milliseconds(800) }; ///< Well below the time in which changes must be in force.
};

/// Keeps up with the records below a prefix: reads them in full, then watches, and reads again where history was lost.
/// Belongs to one event loop.
class StoreFollower {
public:
    struct Handlers {
        std::function<void(const StoreRange&)> onRead; ///< All records.
        std::function<void(const StoreChange&)> onChange; ///< Each change, in the order of its revision.
    };

    StoreFollower(boost::asio::io_context& context, PlatformStore& store, std::string prefix, Handlers handlers,
        StoreFollowerSettings settings = {});

    void start() { read(); }

private:
    void read();
    void watch();
    void onWatch(const StoreWatchOutcome& outcome);
    void onFailure(const std::string& message);
    void after(Duration delay, void (StoreFollower::*next)());

    PlatformStore* m_store;
    std::string m_prefix;
    Handlers m_handlers;
    StoreFollowerSettings m_settings;
    boost::asio::steady_timer m_timer;
    int64_t m_revision { 0 }; ///< Changes up to this one are known; 0 before the first full read.
    Duration m_delay {};
    bool m_isConnected { true };
};

} // namespace cyclamenstair

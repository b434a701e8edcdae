#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <optional>
#include <string>
#include <unordered_map>

namespace cyclamenstair {

/// Settings of a LogLimiter.
struct LogLimiterSettings {
    uint32_t linesPerInterval { 5 }; ///< Lines of one key that are written in an interval.
    Duration interval { std::chrono::seconds(10) };
    size_t maxKeysPerShard { 256 }; ///< The state is dropped when a shard has more keys.
};

/// Bounds how often a repeated fault is logged. Callable from many threads.
class LogLimiter {
public:
    explicit LogLimiter(LogLimiterSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Returns whether a line of `key` may be written, as the number of lines suppressed since the last one; no value
    /// if it may not.
    std::optional<uint64_t> admit(const std::string& key, TimePoint now);

private:
    struct Window {
        TimePoint start;
        uint32_t written { 0 };
        uint64_t suppressed { 0 };
    };

    LogLimiterSettings m_settings;
    Sharded<std::string, std::unordered_map<std::string, Window>> m_windows;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <optional>
#include <string>
#include <unordered_map>

namespace cyclamenstair {

/// Settings of a LogLimiter.
struct LogLimiterSettings {
    uint32_t maxLinesPerInterval { 5 }; ///< Maximum lines written per key and interval.
    Duration interval { std::chrono::seconds(10) };
    size_t maxKeysPerShard { 256 }; ///< A shard with more keys is cleared, which bounds its memory.
};

/// Limits how often a repeated fault is logged. Thread-safe.
class LogLimiter {
public:
    explicit LogLimiter(LogLimiterSettings settings = {})
        : m_settings(settings)
    {
    }

    /// If a line of `key` may be written, returns the number of its lines suppressed since the last written one;
    /// otherwise returns no value and counts the line as suppressed.
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

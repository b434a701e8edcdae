#include <Cyclamenstair/Telemetry/LogLimiter.h>

#include <utility>

namespace cyclamenstair {

std::optional<uint64_t> LogLimiter::admit(const std::string& key, TimePoint now)
{
    return m_windows.withShard(key, [&](auto& windows) -> std::optional<uint64_t> {
        if (windows.size() > m_settings.maxKeysPerShard)
            windows.clear();
        auto [entry, isNew] = windows.try_emplace(key, Window { now, 0, 0 });
        auto& window = entry->second;
        if (now - window.start >= m_settings.interval) {
            window.start = now;
            window.written = 0;
        }
        if (window.written >= m_settings.maxLinesPerInterval) {
            ++window.suppressed;
            return std::nullopt;
        }
        ++window.written;
        return std::exchange(window.suppressed, 0);
    });
}

} // namespace cyclamenstair

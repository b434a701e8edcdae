#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamenstair {

/// Whole server-sent event.
struct WholeEvent {
    std::string text; ///< With its terminating blank line.
    std::string id; ///< Empty if the event has none.
};

/// Returns the value of an event's field; the values of a field that occurs several times are joined.
std::string eventField(std::string_view event, std::string_view name);

/// Splits a stream into whole server-sent events, so that a stream that breaks within an event leaves no part of it
/// with the caller and can go on after the last whole one.
class EventBoundary {
public:
    void append(std::string_view bytes) { m_bytes += bytes; }

    /// Returns the next whole event, or no value if more bytes are needed.
    std::optional<WholeEvent> next();

    /// Returns and removes the bytes after the last whole event.
    std::string takeRest() { return std::exchange(m_bytes, {}); }

    /// Returns the bytes after the last whole event that was taken.
    size_t size() const { return m_bytes.size(); }
    bool isEmpty() const { return m_bytes.empty(); }

private:
    std::string m_bytes;
};

} // namespace cyclamenstair

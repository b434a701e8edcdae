#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamenstair {

/// A complete server-sent event.
struct ServerSentEvent {
    std::string text; ///< Raw text including the terminating blank line.
    std::string id; ///< Empty if the event has none.
};

/// Returns the value of an event's field, or an empty string if the event does not have the field. The values of a
/// repeated field are concatenated.
std::string eventFieldValue(std::string_view event, std::string_view name);

/// Splits a byte stream into complete server-sent events. A caller therefore never receives a partial event, and an
/// interrupted stream can resume after the last complete one.
class EventStreamParser {
public:
    void append(std::string_view bytes) { m_bytes += bytes; }

    /// Removes and returns the next complete event, or returns no value if more bytes are needed.
    std::optional<ServerSentEvent> next();

    /// Removes and returns the bytes after the last complete event.
    std::string takeRemainder() { return std::exchange(m_bytes, {}); }

    /// Returns the number of buffered bytes, which are those after the last event returned by next().
    size_t size() const { return m_bytes.size(); }
    bool isEmpty() const { return m_bytes.empty(); }

private:
    std::string m_bytes;
};

} // namespace cyclamenstair

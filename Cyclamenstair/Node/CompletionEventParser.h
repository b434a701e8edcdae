#pragma once

#include <Cyclamenstair/RequestFlow/EventStreamParser.h>

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenstair {

/// A complete server-sent event of a completion stream.
struct CompletionEvent {
    std::string text; ///< The event including its terminating blank line.
    bool isStreamDone { false }; ///< The last event of the stream, `data: [DONE]`.
    bool isError { false }; ///< The data is an error object or not a JSON object.
    bool hasToken { false };
    bool hasFinishReason { false }; ///< The event carries the reason why the completion ended.
};

/// Splits a completion stream into complete server-sent events and parses them. Incomplete events are held back, so
/// that the caller receives no partial event if the stream breaks.
class CompletionEventParser {
public:
    /// Maximum size of an event; a longer one is an error of the target.
    static constexpr size_t maxEventBytes = 1 << 20;

    void append(std::string_view bytes) { m_boundary.append(bytes); }

    /// Returns the next complete event, or no value if more bytes are needed.
    std::optional<CompletionEvent> next();

    bool isEventTooLong() const { return m_boundary.size() > maxEventBytes; }

private:
    EventStreamParser m_boundary;
};

} // namespace cyclamenstair

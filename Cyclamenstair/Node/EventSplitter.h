#pragma once

#include <Cyclamenstair/RequestFlow/EventStreamParser.h>

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenstair {

/// A whole server-sent event of a completion stream.
struct StreamEvent {
    std::string text; ///< The event with its terminating blank line.
    bool isDone { false }; ///< The stream's last event, `data: [DONE]`.
    bool isError { false }; ///< The engine reports an error in place of a token.
    bool hasToken { false };
    bool isFinish { false }; ///< Names the reason why the answer ends.
};

/// Splits the bytes of a completion stream into whole server-sent events, so that a stream that breaks within an event
/// leaves no part of it with the caller.
class EventSplitter {
public:
    /// Longest event; a longer one is an error of the target.
    static constexpr size_t maxEventBytes = 1 << 20;

    void append(std::string_view bytes) { m_events.append(bytes); }

    /// Returns the next whole event, or no value if more bytes are needed.
    std::optional<StreamEvent> next();

    bool isTooLong() const { return m_events.size() > maxEventBytes; }

private:
    EventStreamParser m_events;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Transport/AttemptEvent.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <set>

namespace cyclamenstair {

/// Event of one attempt of a request.
struct InboxEvent {
    uint32_t attempt { 0 };
    TimePoint receivedAt; ///< Time of receipt on the attempt's thread, before any delay in the queue.
    AttemptEvent event;
};

/// Bounded queue that passes the events of a request's attempts from their threads to the request's thread.
/// Thread-safe.
class AttemptInbox {
public:
    /// Adds an event. Blocks while too many bytes are buffered for a slow caller. Returns false if the attempt was
    /// dropped.
    bool push(uint32_t attempt, AttemptEvent event);

    /// Waits for the next event and returns it, or no value if none arrives before the deadline.
    std::optional<InboxEvent> next(TimePoint deadline);

    /// Removes the queued events of the attempt and rejects further ones.
    void drop(uint32_t attempt);

private:
    static size_t bodyBytes(const AttemptEvent& event);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<InboxEvent> m_events;
    std::set<uint32_t> m_dropped;
    size_t m_bufferedBytes { 0 };
};

} // namespace cyclamenstair

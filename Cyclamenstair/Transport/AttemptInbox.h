#pragma once

#include <Cyclamenstair/Transport/AttemptEvent.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <set>

namespace cyclamenstair {

/// Event of one of a request's attempts.
struct InboxEvent {
    uint32_t attempt { 0 };
    TimePoint receivedAt; ///< When the attempt's thread received it, however late it is taken.
    AttemptEvent event;
};

/// Bounded queue of the events of a request's attempts, between the attempts' threads and the request's thread.
class AttemptInbox {
public:
    /// Adds an event; waits while too many bytes wait for a slow caller. Returns false if the attempt was dropped.
    bool push(uint32_t attempt, AttemptEvent event);

    /// Returns the next event, or no value at the deadline.
    std::optional<InboxEvent> next(TimePoint deadline);

    /// Removes the events of the attempt and refuses further ones.
    void drop(uint32_t attempt);

private:
    static size_t sizeOf(const AttemptEvent& event);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<InboxEvent> m_events;
    std::set<uint32_t> m_dropped;
    size_t m_waitingBytes { 0 };
};

} // namespace cyclamenstair

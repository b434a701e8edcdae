#include <Cyclamenstair/Transport/AttemptInbox.h>

namespace cyclamenstair {

namespace {

    /// Maximum buffered body bytes. Beyond it, attempts stop reading from their targets until the caller has received
    /// data.
    constexpr size_t maxBufferedBytes = 1 << 20;

} // namespace

bool AttemptInbox::push(uint32_t attempt, AttemptEvent event)
{
    const auto receivedAt = monotonicNow();
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_dropped.contains(attempt) || m_bufferedBytes < maxBufferedBytes; });
    if (m_dropped.contains(attempt))
        return false;
    m_bufferedBytes += bodyBytes(event);
    m_events.push_back({ attempt, receivedAt, std::move(event) });
    m_changed.notify_all();
    return true;
}

std::optional<InboxEvent> AttemptInbox::next(TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    if (!m_changed.wait_until(lock, deadline, [&] { return !m_events.empty(); }))
        return std::nullopt;
    auto event = std::move(m_events.front());
    m_events.pop_front();
    m_bufferedBytes -= bodyBytes(event.event);
    m_changed.notify_all();
    return event;
}

void AttemptInbox::drop(uint32_t attempt)
{
    std::lock_guard lock(m_mutex);
    m_dropped.insert(attempt);
    std::erase_if(m_events, [&](const auto& event) {
        const bool isDropped = event.attempt == attempt;
        m_bufferedBytes -= isDropped ? bodyBytes(event.event) : 0;
        return isDropped;
    });
    m_changed.notify_all();
}

size_t AttemptInbox::bodyBytes(const AttemptEvent& event)
{
    const auto* data = std::get_if<AttemptData>(&event);
    return data ? data->bytes.size() : 0;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Admission/FairQueue.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Callers remembered before those without waiting requests are dropped.
    constexpr size_t maxIdleCallers = 256;

} // namespace

double FairQueue::nextTag(const std::string& caller) const
{
    const auto found = m_callers.find(caller);
    return found == m_callers.end() ? m_virtualTime : std::max(m_virtualTime, found->second.nextTag);
}

double FairQueue::takeTag(const AdmissionRequest& request)
{
    const double tag = nextTag(request.caller);
    m_callers[request.caller].nextTag = tag + request.work;
    if (m_callers.size() > maxIdleCallers)
        dropIdleCallers();
    return tag;
}

void FairQueue::push(QueuedRequest queued)
{
    const Order order { takeTag(queued.request), m_nextNumber++ };
    ++m_callers[queued.request.caller].waiting;
    m_work += queued.request.work;
    m_entries.emplace(order, std::move(queued));
}

std::optional<QueuedRequest> FairQueue::pop()
{
    if (m_entries.empty())
        return std::nullopt;
    m_virtualTime = std::max(m_virtualTime, m_entries.begin()->first.tag);
    return take(m_entries.begin());
}

std::optional<QueuedRequest> FairQueue::remove(AdmissionTicket ticket)
{
    const auto found = std::find_if(
        m_entries.begin(), m_entries.end(), [&](const auto& entry) { return entry.second.ticket == ticket; });
    if (found == m_entries.end())
        return std::nullopt;
    return take(found);
}

std::optional<QueuedRequest> FairQueue::removeLast()
{
    if (m_entries.empty())
        return std::nullopt;
    return take(std::prev(m_entries.end()));
}

std::optional<QueuedRequest> FairQueue::removeFromLargestCaller(const std::string& caller)
{
    const auto largest = std::max_element(m_callers.begin(), m_callers.end(),
        [](const auto& a, const auto& b) { return a.second.waiting < b.second.waiting; });
    const auto own = m_callers.find(caller);
    const size_t ownWaiting = own == m_callers.end() ? 0 : own->second.waiting;
    if (largest == m_callers.end() || largest->second.waiting <= ownWaiting + 1)
        return std::nullopt;
    const auto last = std::find_if(m_entries.rbegin(), m_entries.rend(),
        [&](const auto& entry) { return entry.second.request.caller == largest->first; });
    return take(std::prev(last.base()));
}

double FairQueue::workBefore(const std::string& caller) const
{
    const Order order { nextTag(caller), m_nextNumber };
    double work = 0;
    for (const auto& [position, queued] : m_entries) {
        if (order < position)
            break;
        work += queued.request.work;
    }
    return work;
}

QueuedRequest FairQueue::take(Entries::iterator entry)
{
    auto queued = std::move(entry->second);
    m_entries.erase(entry);
    m_work = m_entries.empty() ? 0 : m_work - queued.request.work;
    --m_callers[queued.request.caller].waiting;
    return queued;
}

void FairQueue::dropIdleCallers()
{
    std::erase_if(m_callers,
        [&](const auto& caller) { return caller.second.waiting == 0 && caller.second.nextTag <= m_virtualTime; });
}

} // namespace cyclamenstair

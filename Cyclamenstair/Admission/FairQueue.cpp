#include <Cyclamenstair/Admission/FairQueue.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Number of tracked callers above which those without queued requests are evicted.
    constexpr size_t maxTrackedCallers = 256;

} // namespace

double FairQueue::nextTag(const std::string& caller) const
{
    const auto found = m_callers.find(caller);
    return found == m_callers.end() ? m_virtualTime : std::max(m_virtualTime, found->second.nextTag);
}

double FairQueue::assignTag(const AdmissionRequest& request)
{
    const double tag = nextTag(request.caller);
    m_callers[request.caller].nextTag = tag + request.work;
    if (m_callers.size() > maxTrackedCallers)
        evictIdleCallers();
    return tag;
}

void FairQueue::push(QueuedRequest queued)
{
    const QueuePosition newPosition { assignTag(queued.request), m_nextSequence++ };
    ++m_callers[queued.request.caller].queuedCount;
    m_work += queued.request.work;
    m_entries.emplace(newPosition, std::move(queued));
}

std::optional<QueuedRequest> FairQueue::pop()
{
    if (m_entries.empty())
        return std::nullopt;
    m_virtualTime = std::max(m_virtualTime, m_entries.begin()->first.tag);
    return extract(m_entries.begin());
}

std::optional<QueuedRequest> FairQueue::remove(AdmissionTicket ticket)
{
    const auto found = std::find_if(
        m_entries.begin(), m_entries.end(), [&](const auto& entry) { return entry.second.ticket == ticket; });
    if (found == m_entries.end())
        return std::nullopt;
    return extract(found);
}

std::optional<QueuedRequest> FairQueue::removeLast()
{
    if (m_entries.empty())
        return std::nullopt;
    return extract(std::prev(m_entries.end()));
}

std::optional<QueuedRequest> FairQueue::removeFromLargestCaller(const std::string& caller)
{
    const auto largest = std::max_element(m_callers.begin(), m_callers.end(),
        [](const auto& a, const auto& b) { return a.second.queuedCount < b.second.queuedCount; });
    const auto callerState = m_callers.find(caller);
    const size_t callerQueuedCount = callerState == m_callers.end() ? 0 : callerState->second.queuedCount;
    if (largest == m_callers.end() || largest->second.queuedCount <= callerQueuedCount + 1)
        return std::nullopt;
    const auto last = std::find_if(m_entries.rbegin(), m_entries.rend(),
        [&](const auto& entry) { return entry.second.request.caller == largest->first; });
    return extract(std::prev(last.base()));
}

double FairQueue::workAhead(const std::string& caller) const
{
    const QueuePosition newPosition { nextTag(caller), m_nextSequence };
    double work = 0;
    for (const auto& [position, queued] : m_entries) {
        if (newPosition < position)
            break;
        work += queued.request.work;
    }
    return work;
}

QueuedRequest FairQueue::extract(Entries::iterator entry)
{
    auto queued = std::move(entry->second);
    m_entries.erase(entry);
    m_work = m_entries.empty() ? 0 : m_work - queued.request.work;
    --m_callers[queued.request.caller].queuedCount;
    return queued;
}

void FairQueue::evictIdleCallers()
{
    std::erase_if(m_callers,
        [&](const auto& caller) { return caller.second.queuedCount == 0 && caller.second.nextTag <= m_virtualTime; });
}

} // namespace cyclamenstair

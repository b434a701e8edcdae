#pragma once

#include <Cyclamenstair/Admission/AdmissionTypes.h>

#include <map>
#include <optional>

namespace cyclamenstair {

struct QueuedRequest {
    AdmissionTicket ticket { 0 };
    AdmissionRequest request;
};

/// Queue of requests of one priority that is fair between callers.
///
/// Implements start-time fair queueing: a request's tag is the virtual time at which it would start if all callers got
/// equal shares of work. A caller that was idle starts at the current virtual time and accumulates no credit. Not
/// thread-safe.
class FairQueue {
public:
    void push(QueuedRequest queued);

    /// Charges the caller for a request that was granted without queueing.
    void charge(const AdmissionRequest& request) { assignTag(request); }

    std::optional<QueuedRequest> pop();
    std::optional<QueuedRequest> remove(AdmissionTicket ticket);

    /// Removes the last request in queue order.
    std::optional<QueuedRequest> removeLast();

    /// Removes the last request of the caller with the most queued requests, if that caller has more than `caller`
    /// would have with one more.
    std::optional<QueuedRequest> removeFromLargestCaller(const std::string& caller);

    /// Returns the work of the requests that would be served before a new request of `caller`.
    double workAhead(const std::string& caller) const;

    /// Removes the requests for which `cannotBeServed(request, workAhead)` returns true.
    template <typename Predicate> std::vector<QueuedRequest> removeIf(Predicate&& cannotBeServed)
    {
        std::vector<QueuedRequest> removed;
        double work = 0;
        for (auto entry = m_entries.begin(); entry != m_entries.end();) {
            const auto next = std::next(entry);
            if (cannotBeServed(entry->second.request, work))
                removed.push_back(extract(entry));
            else
                work += entry->second.request.work;
            entry = next;
        }
        return removed;
    }

    bool isEmpty() const { return m_entries.empty(); }
    size_t size() const { return m_entries.size(); }
    double work() const { return m_work; }

private:
    struct QueuePosition {
        double tag { 0 };
        uint64_t sequence { 0 };
        auto operator<=>(const QueuePosition&) const = default;
    };
    struct CallerState {
        double nextTag { 0 };
        size_t queuedCount { 0 };
    };
    using Entries = std::map<QueuePosition, QueuedRequest>;

    double nextTag(const std::string& caller) const;
    double assignTag(const AdmissionRequest& request);
    QueuedRequest extract(Entries::iterator entry);
    void evictIdleCallers();

    Entries m_entries;
    std::map<std::string, CallerState> m_callers;
    double m_virtualTime { 0 };
    double m_work { 0 };
    uint64_t m_nextSequence { 0 };
};

} // namespace cyclamenstair

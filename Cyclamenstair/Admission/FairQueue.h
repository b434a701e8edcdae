#pragma once

#include <Cyclamenstair/Admission/AdmissionTypes.h>

#include <map>
#include <optional>

namespace cyclamenstair {

/// Request that waits.
struct QueuedRequest {
    AdmissionTicket ticket { 0 };
    AdmissionRequest request;
};

/// Waiting requests of one priority in an order that is fair between callers.
///
/// Start-time fair queueing: a request's tag is the virtual time at which its caller, served at an equal share of work,
/// would begin it. A caller that was idle starts at the present virtual time and saves up nothing. One thread at a time
/// may use an instance.
class FairQueue {
public:
    void push(QueuedRequest queued);

    /// Charges the caller for a request that did not have to wait.
    void charge(const AdmissionRequest& request) { takeTag(request); }

    std::optional<QueuedRequest> pop();
    std::optional<QueuedRequest> remove(AdmissionTicket ticket);

    /// Removes the request that is last in order.
    std::optional<QueuedRequest> removeLast();

    /// Removes the request that is last in order of the caller with the most waiting requests, if that caller has more
    /// than `caller` would have with one more.
    std::optional<QueuedRequest> removeFromLargestCaller(const std::string& caller);

    /// Returns the work of the requests that would go before a new one of `caller`.
    double workBefore(const std::string& caller) const;

    /// Removes the requests for which `cannotBeServed(request, work before it)` holds.
    template <typename Predicate> std::vector<QueuedRequest> removeIf(Predicate&& cannotBeServed)
    {
        std::vector<QueuedRequest> removed;
        double work = 0;
        for (auto entry = m_entries.begin(); entry != m_entries.end();) {
            const auto next = std::next(entry);
            if (cannotBeServed(entry->second.request, work))
                removed.push_back(take(entry));
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
    struct Order {
        double tag { 0 };
        uint64_t number { 0 };
        auto operator<=>(const Order&) const = default;
    };
    struct CallerState {
        double nextTag { 0 };
        size_t waiting { 0 };
    };
    using Entries = std::map<Order, QueuedRequest>;

    double nextTag(const std::string& caller) const;
    double takeTag(const AdmissionRequest& request);
    QueuedRequest take(Entries::iterator entry);
    void dropIdleCallers();

    Entries m_entries;
    std::map<std::string, CallerState> m_callers;
    double m_virtualTime { 0 };
    double m_work { 0 };
    uint64_t m_nextNumber { 0 };
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Admission/ConcurrencyLimit.h>
#include <Cyclamenstair/Admission/FairQueue.h>
#include <Cyclamenstair/Admission/QueueBudget.h>

#include <array>

namespace cyclamenstair {

/// Admission of requests for one artifact by deadline, priority and fairness.
///
/// Short and long work have separate queues. Long work uses at most half of the slots, so that short work does not wait
/// behind it, and is served first while it uses less than an eighth, so that short work cannot starve it. Not
/// thread-safe.
class AdmissionGroup {
public:
    AdmissionResult submit(AdmissionTicket ticket, const AdmissionRequest& request, const ConcurrencyBounds& bounds,
        QueueBudget& budget, TimePoint now);
    std::vector<DeferredDecision> release(const AdmissionCompletion& completion, QueueBudget& budget, TimePoint now);

    /// Removes the request if it is still queued; returns the refusal.
    std::optional<AdmissionRefused> cancel(AdmissionTicket ticket, QueueBudget& budget);

    size_t inFlight() const { return m_lanes[0].inFlight + m_lanes[1].inFlight; }
    size_t limit() const { return m_limit.limit(); }
    size_t queued() const;

private:
    static constexpr size_t laneCount = EnumNames<WorkClass>::table.size();
    static constexpr size_t priorityCount = EnumNames<Priority>::table.size();

    /// Requests of one work class.
    struct Lane {
        std::array<FairQueue, priorityCount> queues; ///< Highest priority first.
        size_t inFlight { 0 };
        double secondsPerUnit { 0 }; ///< Moving average of the time per unit of work.
        double secondsPerUnitDeviation { 0 }; ///< Moving average of the absolute deviation from it.

        size_t queued() const;
        double queuedWork() const;
    };

    static constexpr size_t priorityIndex(Priority priority)
    {
        return priorityCount - 1 - static_cast<size_t>(priority);
    }

    Lane& lane(WorkClass workClass) { return m_lanes[static_cast<size_t>(workClass)]; }
    const Lane& lane(WorkClass workClass) const { return m_lanes[static_cast<size_t>(workClass)]; }

    /// Returns the number of requests of the class that may currently be in flight.
    size_t slotLimit(WorkClass workClass) const;
    bool hasFreeSlot(WorkClass workClass) const;
    Duration estimatedServiceTime(const AdmissionRequest& request) const;
    Duration estimatedWait(WorkClass workClass, double workAhead) const;
    double workAhead(const AdmissionRequest& request) const;
    Duration retryAfter(WorkClass workClass) const;
    bool evictForRequest(
        const AdmissionRequest& request, QueueBudget& budget, std::vector<DeferredDecision>& deferredDecisions);
    DeferredDecision refuse(const QueuedRequest& queued, AdmissionRefusal refusal, QueueBudget& budget) const;
    void refuseUnservable(QueueBudget& budget, TimePoint now, std::vector<DeferredDecision>& deferredDecisions);
    bool startNext(QueueBudget& budget, TimePoint now, std::vector<DeferredDecision>& deferredDecisions);

    std::array<Lane, laneCount> m_lanes;
    ConcurrencyLimit m_limit;
    TimePoint m_lastSweepAt;
};

} // namespace cyclamenstair

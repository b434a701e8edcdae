#pragma once

#include <Cyclamenstair/Admission/ConcurrencyLimit.h>
#include <Cyclamenstair/Admission/FairQueue.h>
#include <Cyclamenstair/Admission/QueueBudget.h>

#include <array>

namespace cyclamenstair {

/// Admission to the targets of one artifact by deadline, priority and fairness.
///
/// Short and long work have queues of their own. Long work holds at most half of the places, so that short work does
/// not wait behind it, and is served first while it holds less than an eighth, so that it finishes under any load of
/// short work. One thread at a time may use an instance.
class AdmissionGroup {
public:
    AdmissionResult submit(AdmissionTicket ticket, const AdmissionRequest& request, const ConcurrencyBounds& bounds,
        QueueBudget& budget, TimePoint now);
    std::vector<AdmissionVerdict> release(const AdmissionRelease& end, QueueBudget& budget, TimePoint now);

    /// Removes the request if it still waits; returns the refusal.
    std::optional<AdmissionRefused> withdraw(AdmissionTicket ticket, QueueBudget& budget);

    size_t inFlight() const { return m_lanes[0].inFlight + m_lanes[1].inFlight; }
    size_t limit() const { return m_limit.limit(); }
    size_t queued() const;

private:
    static constexpr size_t laneCount = EnumNames<WorkClass>::table.size();
    static constexpr size_t priorityCount = EnumNames<Priority>::table.size();

    /// Requests of one work class.
    struct Lane {
        std::array<FairQueue, priorityCount> queues; ///< By priority.
        size_t inFlight { 0 };
        double unitTime { 0 }; ///< Present average time of a unit of work in seconds.
        double unitDeviation { 0 }; ///< Present average distance from it in seconds.

        size_t queued() const;
        double queuedWork() const;
    };

    Lane& lane(WorkClass workClass) { return m_lanes[static_cast<size_t>(workClass)]; }
    const Lane& lane(WorkClass workClass) const { return m_lanes[static_cast<size_t>(workClass)]; }

    /// Requests of the class that may be in flight at present.
    size_t placesOf(WorkClass workClass) const;
    bool mayStart(WorkClass workClass) const;
    Duration serviceEstimate(const AdmissionRequest& request) const;
    Duration waitEstimate(WorkClass workClass, double workBefore) const;
    double workBefore(const AdmissionRequest& request) const;
    Duration retryAfter(WorkClass workClass) const;
    bool makeRoom(const AdmissionRequest& request, QueueBudget& budget, std::vector<AdmissionVerdict>& verdicts);
    AdmissionVerdict refuse(const QueuedRequest& queued, AdmissionRefusal refusal, QueueBudget& budget) const;
    void refuseHopeless(QueueBudget& budget, TimePoint now, std::vector<AdmissionVerdict>& verdicts);
    bool startNext(QueueBudget& budget, TimePoint now, std::vector<AdmissionVerdict>& verdicts);

    std::array<Lane, laneCount> m_lanes;
    ConcurrencyLimit m_limit;
    TimePoint m_lastSweep;
};

} // namespace cyclamenstair

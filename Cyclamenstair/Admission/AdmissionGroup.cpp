#include <Cyclamenstair/Admission/AdmissionGroup.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair {

namespace {

    /// Fraction of the limit, as a divisor, that requests with an estimate beyond their window may use.
    constexpr size_t probeLimitDivisor = 4;

    constexpr double newSampleWeight = 0.1;

    /// Minimum interval between sweeps for queued requests that can no longer meet their deadline.
    constexpr Duration sweepInterval = milliseconds(50);

    constexpr Duration minRetryAfter = milliseconds(500);

    /// Fraction of the node's queue, as a divisor, that one artifact may use, so that a burst leaves space for others.
    constexpr size_t queueShareDivisor = 2;

} // namespace

size_t AdmissionGroup::Lane::queued() const
{
    size_t count = 0;
    for (const auto& queue : queues)
        count += queue.size();
    return count;
}

double AdmissionGroup::Lane::queuedWork() const
{
    double work = 0;
    for (const auto& queue : queues)
        work += queue.work();
    return work;
}

size_t AdmissionGroup::queued() const { return m_lanes[0].queued() + m_lanes[1].queued(); }

size_t AdmissionGroup::slotLimit(WorkClass workClass) const
{
    if (workClass == WorkClass::Long)
        return std::max<size_t>(1, limit() / 2);
    const size_t longInFlight = lane(WorkClass::Long).inFlight;
    return limit() > longInFlight ? limit() - longInFlight : 1;
}

bool AdmissionGroup::hasFreeSlot(WorkClass workClass) const
{
    if (inFlight() >= limit())
        return false;
    return workClass == WorkClass::Short || lane(workClass).inFlight < slotLimit(workClass);
}

Duration AdmissionGroup::estimatedServiceTime(const AdmissionRequest& request) const
{
    // Adds the deviation, because otherwise a response slightly slower than the average would miss its deadline.
    const auto& lane = this->lane(request.workClass);
    const double seconds = (lane.secondsPerUnit + lane.secondsPerUnitDeviation) * request.work;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Duration AdmissionGroup::estimatedWait(WorkClass workClass, double workAhead) const
{
    const double seconds = workAhead * lane(workClass).secondsPerUnit / static_cast<double>(slotLimit(workClass));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double AdmissionGroup::workAhead(const AdmissionRequest& request) const
{
    const auto& queues = lane(request.workClass).queues;
    const auto priorityLevel = priorityIndex(request.priority);
    double work = queues[priorityLevel].workAhead(request.caller);
    for (size_t higher = 0; higher < priorityLevel; ++higher)
        work += queues[higher].work();
    return work;
}

Duration AdmissionGroup::retryAfter(WorkClass workClass) const
{
    return std::max(minRetryAfter, estimatedWait(workClass, lane(workClass).queuedWork()));
}

AdmissionResult AdmissionGroup::submit(AdmissionTicket ticket, const AdmissionRequest& request,
    const ConcurrencyBounds& bounds, QueueBudget& budget, TimePoint now)
{
    m_limit.setBounds(bounds);
    AdmissionResult result;
    auto& lane = this->lane(request.workClass);
    const auto expectedServiceTime = estimatedServiceTime(request);
    const auto latestStart = request.deadline - expectedServiceTime;
    // With few requests of its class in flight, a request is granted regardless of the estimate, because only responses
    // can correct an estimate that is too long.
    const bool isProbe = lane.inFlight < std::max<size_t>(1, limit() / probeLimitDivisor) && lane.queued() == 0;
    if (now >= request.deadline || (latestStart < now && !isProbe)) {
        result.decision = AdmissionRefused { AdmissionRefusal::WindowTooShort, retryAfter(request.workClass) };
        return result;
    }
    if (hasFreeSlot(request.workClass) && lane.queued() == 0) {
        lane.queues[priorityIndex(request.priority)].charge(request);
        ++lane.inFlight;
        result.decision = AdmissionGranted {};
        return result;
    }

    // The request waits for the requests ahead of it and for a running request's slot.
    const auto expectedWait = estimatedWait(request.workClass, workAhead(request) + request.work);
    if (now + expectedWait > latestStart) {
        result.decision = AdmissionRefused { AdmissionRefusal::WindowTooShort, retryAfter(request.workClass) };
        return result;
    }
    const bool isWithinQueueShare = queued() < std::max<size_t>(1, budget.maxRequests() / queueShareDivisor);
    bool isReserved = isWithinQueueShare && budget.tryReserve(request.bytes);
    if (!isReserved && evictForRequest(request, budget, result.deferredDecisions))
        isReserved = budget.tryReserve(request.bytes);
    if (!isReserved) {
        result.decision = AdmissionRefused { AdmissionRefusal::QueueFull, retryAfter(request.workClass) };
        return result;
    }
    lane.queues[priorityIndex(request.priority)].push({ ticket, request });
    result.decision = AdmissionQueued { latestStart };
    return result;
}

bool AdmissionGroup::evictForRequest(
    const AdmissionRequest& request, QueueBudget& budget, std::vector<DeferredDecision>& deferredDecisions)
{
    // Evicts a request of lower priority, or else one of the caller with the most queued requests.
    auto& queues = lane(request.workClass).queues;
    const auto priorityLevel = priorityIndex(request.priority);
    for (size_t lower = queues.size() - 1; lower > priorityLevel; --lower) {
        if (const auto removed = queues[lower].removeLast()) {
            deferredDecisions.push_back(refuse(*removed, AdmissionRefusal::QueueFull, budget));
            return true;
        }
    }
    if (const auto removed = queues[priorityLevel].removeFromLargestCaller(request.caller)) {
        deferredDecisions.push_back(refuse(*removed, AdmissionRefusal::QueueFull, budget));
        return true;
    }
    return false;
}

DeferredDecision AdmissionGroup::refuse(
    const QueuedRequest& queued, AdmissionRefusal refusal, QueueBudget& budget) const
{
    budget.releaseReservation(queued.request.bytes);
    return { queued.ticket, AdmissionRefused { refusal, retryAfter(queued.request.workClass) } };
}

std::vector<DeferredDecision> AdmissionGroup::release(
    const AdmissionCompletion& completion, QueueBudget& budget, TimePoint now)
{
    auto& lane = this->lane(completion.workClass);
    if (completion.isComplete && completion.work > 0) {
        const double secondsPerUnit = toSeconds(completion.serviceTime) / completion.work;
        if (lane.secondsPerUnit > 0)
            lane.secondsPerUnitDeviation
                += newSampleWeight * (std::abs(secondsPerUnit - lane.secondsPerUnit) - lane.secondsPerUnitDeviation);
        lane.secondsPerUnit = lane.secondsPerUnit == 0
            ? secondsPerUnit
            : lane.secondsPerUnit + newSampleWeight * (secondsPerUnit - lane.secondsPerUnit);
        // Long work is excluded: its queueing inside the targets indicates little about the capacity for short work.
        if (completion.workClass == WorkClass::Short || this->lane(WorkClass::Short).inFlight == 0)
            m_limit.observe(completion.serviceTime, completion.work, inFlight(), now);
    }
    --lane.inFlight;
    std::vector<DeferredDecision> deferredDecisions;
    if (now - m_lastSweepAt >= sweepInterval) {
        m_lastSweepAt = now;
        refuseUnservable(budget, now, deferredDecisions);
    }
    while (startNext(budget, now, deferredDecisions)) { }
    return deferredDecisions;
}

void AdmissionGroup::refuseUnservable(
    QueueBudget& budget, TimePoint now, std::vector<DeferredDecision>& deferredDecisions)
{
    for (const auto& row : EnumNames<WorkClass>::table) {
        auto& queues = lane(row.value).queues;
        double higherPriorityWork = 0;
        for (auto& queue : queues) {
            const auto removed = queue.removeIf([&](const AdmissionRequest& request, double work) {
                const auto start = now + estimatedWait(row.value, higherPriorityWork + work);
                return start + estimatedServiceTime(request) > request.deadline;
            });
            for (const auto& queued : removed)
                deferredDecisions.push_back(refuse(queued, AdmissionRefusal::WindowTooShort, budget));
            higherPriorityWork += queue.work();
        }
    }
}

bool AdmissionGroup::startNext(QueueBudget& budget, TimePoint now, std::vector<DeferredDecision>& deferredDecisions)
{
    const auto hasStartable
        = [&](WorkClass workClass) { return hasFreeSlot(workClass) && lane(workClass).queued() > 0; };
    const bool canStartLong = hasStartable(WorkClass::Long);
    const bool canStartShort = hasStartable(WorkClass::Short);
    if (!canStartLong && !canStartShort)
        return false;
    const size_t guaranteedLongSlots = std::max<size_t>(1, limit() / 8);
    const bool isLong = canStartLong && (!canStartShort || lane(WorkClass::Long).inFlight < guaranteedLongSlots);
    auto& lane = this->lane(isLong ? WorkClass::Long : WorkClass::Short);
    for (auto& queue : lane.queues) {
        const auto next = queue.pop();
        if (!next)
            continue;
        const auto deadline = next->request.deadline;
        if (now >= deadline || now + estimatedServiceTime(next->request) > deadline) {
            deferredDecisions.push_back(refuse(*next, AdmissionRefusal::WindowTooShort, budget));
        } else {
            budget.releaseReservation(next->request.bytes);
            ++lane.inFlight;
            deferredDecisions.push_back({ next->ticket, AdmissionGranted {} });
        }
        return true;
    }
    return false;
}

std::optional<AdmissionRefused> AdmissionGroup::cancel(AdmissionTicket ticket, QueueBudget& budget)
{
    for (auto& lane : m_lanes) {
        for (auto& queue : lane.queues) {
            if (const auto removed = queue.remove(ticket)) {
                budget.releaseReservation(removed->request.bytes);
                return AdmissionRefused { AdmissionRefusal::WindowTooShort, retryAfter(removed->request.workClass) };
            }
        }
    }
    return std::nullopt;
}

} // namespace cyclamenstair

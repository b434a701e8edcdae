#include <Cyclamenstair/Admission/AdmissionGroup.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair {

namespace {

    /// Share of the limit that is used for requests whose estimate exceeds their window.
    constexpr size_t probeShareDivisor = 4;

    constexpr double averageWeight = 0.1;

    /// Time between two searches for queued requests that cannot be answered in time any more.
    constexpr Duration sweepInterval = milliseconds(50);

    constexpr Duration leastRetryAfter = milliseconds(500);

    /// Share of the node's queue that one artifact may take, so that its burst leaves room for the others.
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

size_t AdmissionGroup::placesOf(WorkClass workClass) const
{
    if (workClass == WorkClass::Long)
        return std::max<size_t>(1, limit() / 2);
    const size_t held = lane(WorkClass::Long).inFlight;
    return limit() > held ? limit() - held : 1;
}

bool AdmissionGroup::mayStart(WorkClass workClass) const
{
    if (inFlight() >= limit())
        return false;
    return workClass == WorkClass::Short || lane(workClass).inFlight < placesOf(workClass);
}

Duration AdmissionGroup::serviceEstimate(const AdmissionRequest& request) const
{
    // The deviation is added, because an answer that takes only a little longer than expected would be late.
    const auto& lane = this->lane(request.workClass);
    const double seconds = (lane.unitTime + lane.unitDeviation) * request.work;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Duration AdmissionGroup::waitEstimate(WorkClass workClass, double workBefore) const
{
    const double seconds = workBefore * lane(workClass).unitTime / static_cast<double>(placesOf(workClass));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double AdmissionGroup::workBefore(const AdmissionRequest& request) const
{
    const auto& queues = lane(request.workClass).queues;
    const auto level = static_cast<size_t>(request.priority);
    double work = queues[level].workBefore(request.caller);
    for (size_t higher = level + 1; higher < queues.size(); ++higher)
        work += queues[higher].work();
    return work;
}

Duration AdmissionGroup::retryAfter(WorkClass workClass) const
{
    return std::max(leastRetryAfter, waitEstimate(workClass, lane(workClass).queuedWork()));
}

AdmissionResult AdmissionGroup::submit(AdmissionTicket ticket, const AdmissionRequest& request,
    const ConcurrencyBounds& bounds, QueueBudget& budget, TimePoint now)
{
    m_limit.setBounds(bounds);
    AdmissionResult result;
    auto& lane = this->lane(request.workClass);
    const auto service = serviceEstimate(request);
    const auto latestStart = request.deadline - service;
    // With little of its kind in flight, a request is let through whatever the estimate is: only answers can correct an
    // estimate that is too long.
    const bool isProbe = lane.inFlight < std::max<size_t>(1, limit() / probeShareDivisor) && lane.queued() == 0;
    if (now >= request.deadline || (latestStart < now && !isProbe)) {
        result.decision = AdmissionRefused { AdmissionRefusal::WindowTooShort, retryAfter(request.workClass) };
        return result;
    }
    if (mayStart(request.workClass) && lane.queued() == 0) {
        lane.queues[static_cast<size_t>(request.priority)].charge(request);
        ++lane.inFlight;
        result.decision = AdmissionGranted {};
        return result;
    }

    // The request has to wait for the queue before it and for the place of one that runs.
    const auto wait = waitEstimate(request.workClass, workBefore(request) + request.work);
    if (now + wait > latestStart) {
        result.decision = AdmissionRefused { AdmissionRefusal::WindowTooShort, retryAfter(request.workClass) };
        return result;
    }
    const bool hasShare = queued() < std::max<size_t>(1, budget.maxRequests() / queueShareDivisor);
    bool hasRoom = hasShare && budget.take(request.bytes);
    if (!hasRoom && makeRoom(request, budget, result.verdicts))
        hasRoom = budget.take(request.bytes);
    if (!hasRoom) {
        result.decision = AdmissionRefused { AdmissionRefusal::QueueFull, retryAfter(request.workClass) };
        return result;
    }
    lane.queues[static_cast<size_t>(request.priority)].push({ ticket, request });
    result.decision = AdmissionQueued { latestStart };
    return result;
}

bool AdmissionGroup::makeRoom(
    const AdmissionRequest& request, QueueBudget& budget, std::vector<AdmissionVerdict>& verdicts)
{
    // A request of lower priority gives way, then one of the caller that takes the most room.
    auto& queues = lane(request.workClass).queues;
    const auto level = static_cast<size_t>(request.priority);
    for (size_t lower = 0; lower < level; ++lower) {
        if (const auto removed = queues[lower].removeLast()) {
            verdicts.push_back(refuse(*removed, AdmissionRefusal::QueueFull, budget));
            return true;
        }
    }
    if (const auto removed = queues[level].removeFromLargestCaller(request.caller)) {
        verdicts.push_back(refuse(*removed, AdmissionRefusal::QueueFull, budget));
        return true;
    }
    return false;
}

AdmissionVerdict AdmissionGroup::refuse(
    const QueuedRequest& queued, AdmissionRefusal refusal, QueueBudget& budget) const
{
    budget.giveBack(queued.request.bytes);
    return { queued.ticket, AdmissionRefused { refusal, retryAfter(queued.request.workClass) } };
}

std::vector<AdmissionVerdict> AdmissionGroup::release(const AdmissionRelease& end, QueueBudget& budget, TimePoint now)
{
    auto& lane = this->lane(end.workClass);
    if (end.isComplete && end.work > 0) {
        const double unitTime = toSeconds(end.serviceTime) / end.work;
        if (lane.unitTime > 0)
            lane.unitDeviation += averageWeight * (std::abs(unitTime - lane.unitTime) - lane.unitDeviation);
        lane.unitTime = lane.unitTime == 0 ? unitTime : lane.unitTime + averageWeight * (unitTime - lane.unitTime);
        // Long work is left out: its queueing inside the targets says little about the room for short work.
        if (end.workClass == WorkClass::Short || this->lane(WorkClass::Short).inFlight == 0)
            m_limit.observe(end.serviceTime, end.work, inFlight(), now);
    }
    --lane.inFlight;
    std::vector<AdmissionVerdict> verdicts;
    if (now - m_lastSweep >= sweepInterval) {
        m_lastSweep = now;
        refuseHopeless(budget, now, verdicts);
    }
    while (startNext(budget, now, verdicts)) { }
    return verdicts;
}

void AdmissionGroup::refuseHopeless(QueueBudget& budget, TimePoint now, std::vector<AdmissionVerdict>& verdicts)
{
    for (const auto& row : EnumNames<WorkClass>::table) {
        auto& queues = lane(row.value).queues;
        double higherWork = 0;
        for (auto queue = queues.rbegin(); queue != queues.rend(); ++queue) {
            const auto removed = queue->removeIf([&](const AdmissionRequest& request, double work) {
                const auto start = now + waitEstimate(row.value, higherWork + work);
                return start + serviceEstimate(request) > request.deadline;
            });
            for (const auto& queued : removed)
                verdicts.push_back(refuse(queued, AdmissionRefusal::WindowTooShort, budget));
            higherWork += queue->work();
        }
    }
}

bool AdmissionGroup::startNext(QueueBudget& budget, TimePoint now, std::vector<AdmissionVerdict>& verdicts)
{
    const auto canStart = [&](WorkClass workClass) { return mayStart(workClass) && lane(workClass).queued() > 0; };
    const bool canLong = canStart(WorkClass::Long);
    const bool canShort = canStart(WorkClass::Short);
    if (!canLong && !canShort)
        return false;
    const size_t longShare = std::max<size_t>(1, limit() / 8);
    const bool isLong = canLong && (!canShort || lane(WorkClass::Long).inFlight < longShare);
    auto& lane = this->lane(isLong ? WorkClass::Long : WorkClass::Short);
    for (auto queue = lane.queues.rbegin(); queue != lane.queues.rend(); ++queue) {
        const auto next = queue->pop();
        if (!next)
            continue;
        const auto deadline = next->request.deadline;
        if (now >= deadline || now + serviceEstimate(next->request) > deadline) {
            verdicts.push_back(refuse(*next, AdmissionRefusal::WindowTooShort, budget));
        } else {
            budget.giveBack(next->request.bytes);
            ++lane.inFlight;
            verdicts.push_back({ next->ticket, AdmissionGranted {} });
        }
        return true;
    }
    return false;
}

std::optional<AdmissionRefused> AdmissionGroup::withdraw(AdmissionTicket ticket, QueueBudget& budget)
{
    for (auto& lane : m_lanes) {
        for (auto& queue : lane.queues) {
            if (const auto removed = queue.remove(ticket)) {
                budget.giveBack(removed->request.bytes);
                return AdmissionRefused { AdmissionRefusal::WindowTooShort, retryAfter(removed->request.workClass) };
            }
        }
    }
    return std::nullopt;
}

} // namespace cyclamenstair

#include <StandIns/SimulatedBatch.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <algorithm>
#include <utility>

namespace cyclamenstair {

namespace {

    Duration scaled(Duration duration, double factor)
    {
        return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
    }

} // namespace

SimulatedBatch::SimulatedBatch(const SimulatedTargetSettings& settings, uint64_t seed)
    : m_workload(settings.workload)
    , m_slots(settings.slots)
    , m_maxQueued(settings.maxQueued)
    , m_random(seed)
{
}

bool SimulatedBatch::add(uint64_t number, SimulatedRequest request, TimePoint now)
{
    const bool hasFreeSlot = runningCount() < m_slots && waitingCount() == 0 && hasRoomFor(request);
    if (!hasFreeSlot && waitingCount() >= m_maxQueued)
        return false;
    if (engine() && memoryTokens(request) > engine()->memoryTokens)
        return false;
    Entry entry;
    entry.nextEvent = request.lastEvent + 1;
    entry.stepsLeft = request.slowness;
    entry.readyAt = now;
    entry.request = std::move(request);
    m_entries.emplace(number, std::move(entry));
    return true;
}

void SimulatedBatch::remove(uint64_t number) { m_entries.erase(number); }

void SimulatedBatch::clear()
{
    m_entries.clear();
    m_stepEnd.reset();
}

std::vector<uint64_t> SimulatedBatch::removeWaiting(const std::string& model, const std::string& adapter)
{
    std::vector<uint64_t> removed;
    std::erase_if(m_entries, [&](const auto& item) {
        const auto& [number, entry] = item;
        const bool isRemoved = !entry.isAdmitted && entry.request.model == model
            && (adapter.empty() || entry.request.adapter == adapter);
        if (isRemoved)
            removed.push_back(number);
        return isRemoved;
    });
    return removed;
}

std::vector<SimulatedStep> SimulatedBatch::advance(TimePoint now, const CongestionPredicate& isCongested)
{
    std::vector<SimulatedStep> steps;
    expire(now, steps);
    if (engine())
        advanceEngine(now, isCongested, steps);
    else
        advanceService(now, steps);
    admit(now, steps);
    if (engine() && !m_stepEnd)
        advanceEngine(now, isCongested, steps);
    return steps;
}

void SimulatedBatch::expire(TimePoint now, std::vector<SimulatedStep>& steps)
{
    std::erase_if(m_entries, [&](const auto& item) {
        const auto& [number, entry] = item;
        const bool isExpired = entry.request.deadline && *entry.request.deadline <= now;
        if (isExpired) {
            const auto kind = entry.hasBegun ? SimulatedStepKind::Expired : SimulatedStepKind::ExpiredUnrun;
            steps.push_back({ kind, number, 0 });
        }
        return isExpired;
    });
}

void SimulatedBatch::admit(TimePoint now, std::vector<SimulatedStep>& steps)
{
    while (runningCount() < m_slots) {
        auto first = m_entries.end();
        for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
            const bool isFirst = first == m_entries.end() || it->second.request.urgency < first->second.request.urgency;
            if (!it->second.isAdmitted && isFirst)
                first = it;
        }
        if (first == m_entries.end() || !hasRoomFor(first->second.request))
            return;
        auto& entry = first->second;
        entry.isAdmitted = true;
        entry.readyAt = now + timeUntilReady(entry.request);
        if (!engine()) {
            entry.hasBegun = true;
            steps.push_back({ SimulatedStepKind::Begun, first->first, 0 });
        }
    }
}

bool SimulatedBatch::hasRoomFor(const SimulatedRequest& request) const
{
    return !engine() || usedMemoryTokens() + memoryTokens(request) <= engine()->memoryTokens;
}

Duration SimulatedBatch::timeUntilReady(const SimulatedRequest& request)
{
    return std::visit(Overloaded {
                          [&](const ServiceWorkload& service) {
                              return scaled(service.meanWorkTime, (0.5 + randomUnit(m_random)) * request.slowness);
                          },
                          [&](const EngineWorkload& engine) {
                              // A stream that continues is read anew together with the events that the caller has.
                              const auto tokens = static_cast<double>(
                                  request.promptTokens + request.lastEvent * engine.tokensPerEvent);
                              return scaled(milliseconds(1), tokens / engine.promptTokensPerMs * request.slowness);
                          },
                      },
        m_workload);
}

void SimulatedBatch::advanceService(TimePoint now, std::vector<SimulatedStep>& steps)
{
    std::erase_if(m_entries, [&](const auto& item) {
        const auto& [number, entry] = item;
        const bool isDue = entry.isAdmitted && entry.readyAt <= now;
        if (isDue)
            steps.push_back({ SimulatedStepKind::Completed, number, 0 });
        return isDue;
    });
}

void SimulatedBatch::advanceEngine(
    TimePoint now, const CongestionPredicate& isCongested, std::vector<SimulatedStep>& steps)
{
    if (m_stepEnd && *m_stepEnd <= now) {
        m_stepEnd.reset();
        makeEvents(now, isCongested, steps);
    }
    const bool hasReadPrompt = std::ranges::any_of(
        m_entries, [&](const auto& item) { return item.second.isAdmitted && item.second.readyAt <= now; });
    if (!m_stepEnd && hasReadPrompt)
        m_stepEnd = now + stepTime();
}

void SimulatedBatch::makeEvents(
    TimePoint now, const CongestionPredicate& isCongested, std::vector<SimulatedStep>& steps)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& [number, entry] = *it;
        const bool isMaking = entry.isAdmitted && entry.readyAt <= now && !isCongested(number);
        if (!isMaking || --entry.stepsLeft > 0) {
            ++it;
            continue;
        }
        entry.stepsLeft = entry.request.slowness;
        if (!std::exchange(entry.hasBegun, true))
            steps.push_back({ SimulatedStepKind::Begun, number, 0 });
        const auto count = eventCount(entry.request);
        if (entry.nextEvent <= count)
            steps.push_back({ SimulatedStepKind::Event, number, entry.nextEvent++ });
        if (entry.nextEvent <= count) {
            ++it;
            continue;
        }
        steps.push_back({ SimulatedStepKind::Completed, number, 0 });
        it = m_entries.erase(it);
    }
}

Duration SimulatedBatch::stepTime() const
{
    double factor = 0;
    for (const auto& [number, entry] : m_entries) {
        if (entry.isAdmitted)
            factor = std::max(factor, entry.request.stepFactor);
    }
    const auto running = static_cast<int64_t>(runningCount());
    return std::max(minStepTime, scaled(engine()->stepTime + running * engine()->stepTimePerRequest, factor));
}

std::optional<TimePoint> SimulatedBatch::nextTime() const
{
    std::optional<TimePoint> next = m_stepEnd;
    const auto include = [&](TimePoint time) { next = std::min(next.value_or(time), time); };
    for (const auto& [number, entry] : m_entries) {
        if (entry.request.deadline)
            include(*entry.request.deadline);
        // While an engine's step is in progress, a prompt that has been read waits for the end of the step.
        if (entry.isAdmitted && !m_stepEnd)
            include(entry.readyAt);
    }
    return next;
}

bool SimulatedBatch::isInUse(const std::string& model, const std::string& adapter) const
{
    return std::ranges::any_of(m_entries, [&](const auto& item) {
        const auto& [number, entry] = item;
        return entry.isAdmitted && entry.request.model == model
            && (adapter.empty() || entry.request.adapter == adapter);
    });
}

size_t SimulatedBatch::runningCount() const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_entries, [](const auto& item) { return item.second.isAdmitted; }));
}

int64_t SimulatedBatch::usedMemoryTokens() const
{
    int64_t used = 0;
    for (const auto& [number, entry] : m_entries)
        used += entry.isAdmitted ? memoryTokens(entry.request) : 0;
    return used;
}

int64_t SimulatedBatch::eventCount(const SimulatedRequest& request) const
{
    const int64_t tokensPerEvent = std::max(1, engine()->tokensPerEvent);
    return (request.outputTokens + tokensPerEvent - 1) / tokensPerEvent;
}

} // namespace cyclamenstair

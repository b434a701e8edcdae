#include <Cyclamenstair/Fleet/TargetRegistry.h>

#include <Cyclamenstair/Core/Hash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace cyclamenstair {

namespace {

    /// Cost added to a suspect target, so that it is selected only if all others are suspect too.
    constexpr double suspectCost = 1000;
    /// Cost added to a target that has just refused a request for lack of capacity; lower than that of a suspect one.
    constexpr double fullCost = 100;
    /// Cost added to a target that does not respond to any node.
    constexpr double unresponsiveCost = 500;
    /// Cost added to a target that has started or recovered, at the nodes that are to leave it to others.
    constexpr double beyondPaceCost = 50;
    /// Limit of the suspect duration after consecutive failures, as a multiple of that after one failure.
    constexpr uint32_t maxSuspectFactor = 4;

} // namespace

void TargetRegistry::update(const TargetRecord& record, int64_t revision, std::optional<TimePoint> startedAt,
    std::optional<TimePoint> versionSeenAt)
{
    m_services.withShard(record.service, [&](auto& services) {
        auto& targets = services[record.service];
        const auto settledAt = versionSettledAt(targets, record, startedAt ? startedAt : versionSeenAt);
        auto& target = targets[record.id];
        if (revision <= target.revision)
            return;
        target.versionSettledAt = settledAt;
        const bool isSameProcess
            = target.record.startedUnixMs == record.startedUnixMs && target.record.address == record.address;
        if (!isSameProcess) {
            target.suspectUntil = {};
            target.fullUntil = {};
            target.isLeaving = false;
            target.pausedUntil = {};
            target.absentUntil.clear();
            target.consecutiveFailures = 0;
            target.pace = {};
            if (startedAt)
                target.pace.restart(*startedAt);
        }
        target.record = record;
        target.revision = revision;
    });
}

TimePoint TargetRegistry::versionSettledAt(
    const Targets& targets, const TargetRecord& record, std::optional<TimePoint> seenAt) const
{
    for (const auto& [id, target] : targets) {
        if (target.record.softwareVersion == record.softwareVersion)
            return target.versionSettledAt;
    }
    return seenAt && !targets.empty() ? *seenAt + m_settings.newVersionDelay : TimePoint();
}

void TargetRegistry::remove(const std::string& id, int64_t revision)
{
    m_services.forEachShard([&](auto& services) {
        for (auto& [service, targets] : services)
            std::erase_if(
                targets, [&](const auto& entry) { return entry.first == id && entry.second.revision < revision; });
    });
}

void TargetRegistry::replaceAll(const std::vector<std::pair<TargetRecord, int64_t>>& records, int64_t revision,
    std::optional<TimePoint> versionsSeenAt)
{
    std::set<std::string> present;
    for (const auto& [record, recordRevision] : records) {
        present.insert(record.id);
        update(record, recordRevision, std::nullopt, versionsSeenAt);
    }
    m_services.forEachShard([&](auto& services) {
        for (auto& [service, targets] : services)
            std::erase_if(targets,
                [&](const auto& entry) { return !present.contains(entry.first) && entry.second.revision <= revision; });
    });
}

AcquireOutcome TargetRegistry::acquire(const TargetQuery& query, TimePoint now, Random& random)
{
    return m_services.withShard(query.service, [&](auto& services) -> AcquireOutcome {
        const auto service = services.find(query.service);
        if (service == services.end())
            return AcquireFailure::NoTarget;
        std::vector<Candidate> candidates;
        bool isAnyReady = false;
        std::optional<TimePoint> firstPauseEnd;
        bool isModelLoaded = false;
        bool isAnyBacklogged = false;
        bool isAnyOverloaded = false;
        bool isAnyBrittle = false;
        const bool isServiceBrittle = this->isServiceBrittle(service->second, now);
        size_t slotsBefore = 0;
        for (auto& [id, target] : service->second) {
            const auto slotsBeforeTarget = slotsBefore;
            slotsBefore += std::max(1U, target.record.slots);
            if (target.record.phase != TargetPhase::Ready || target.isLeaving || query.excluded.contains(id)
                || target.record.softwareVersion != query.softwareVersion.value_or(target.record.softwareVersion))
                continue;
            if (target.pausedUntil > now) {
                if (query.model.empty() || target.record.hasLoaded(query.model, query.adapter))
                    firstPauseEnd = std::min(firstPauseEnd.value_or(target.pausedUntil), target.pausedUntil);
                continue;
            }
            isAnyReady = true;
            if (!query.model.empty()) {
                isModelLoaded = isModelLoaded || target.record.hasLoaded(query.model, {});
                if (!target.record.hasLoaded(query.model, query.adapter))
                    continue;
                const auto absent = target.absentUntil.find(modelKey(query));
                if (absent != target.absentUntil.end() && absent->second > now)
                    continue;
            }
            if (isOverloaded(target, query, now)) {
                isAnyOverloaded = true;
                continue;
            }
            if (query.excludesBacklogged && isPromptBacklogged(target, query, now)) {
                isAnyBacklogged = true;
                continue;
            }
            if (isBrittle(target, isServiceBrittle, now)
                && !hasBrittleRoom(target, shareOfSlots(target, slotsBeforeTarget), now)) {
                isAnyBrittle = true;
                continue;
            }
            // The random term makes nodes break ties differently.
            candidates.push_back({ &target, selectionCost(target, now) + randomUnit(random) * 0.01 });
        }
        if (candidates.empty()) {
            if (isAnyBacklogged)
                return AcquireFailure::PromptBacklog;
            if (isAnyOverloaded)
                return AcquireFailure::EnginesOverloaded;
            if (isAnyBrittle)
                return AcquireFailure::TargetsBrittle;
            if (firstPauseEnd)
                return TargetsPaused { *firstPauseEnd };
            if (!isAnyReady)
                return AcquireFailure::NoTarget;
            return isModelLoaded && !query.adapter.empty() ? AcquireFailure::AdapterAbsent
                                                           : AcquireFailure::ModelAbsent;
        }
        if (m_isLargeFleet)
            addOtherTargetCost(
                candidates, query.model.empty() ? m_settings.otherTargetCost : m_settings.otherEngineCost);
        auto* const best = std::min_element(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
            return a.cost < b.cost;
        })->target;
        ++best->load.inFlight;
        best->load.pendingPromptTokens += query.promptTokens;
        if (!query.model.empty())
            ++best->inFlightByModel[query.model];
        return AcquiredTarget { best->record.id, best->record.address, query.service, best->record.startedUnixMs,
            query.promptTokens, false, best->record.softwareVersion };
    });
}

void TargetRegistry::markPromptRead(AcquiredTarget& target)
{
    m_services.withShard(target.service, [&](auto& services) {
        auto& targets = services[target.service];
        const auto entry = targets.find(target.id);
        if (entry != targets.end())
            entry->second.load.pendingPromptTokens
                -= std::min(entry->second.load.pendingPromptTokens, target.pendingPromptTokens);
        if (entry != targets.end())
            clearOverdue(entry->second, target);
    });
    target.pendingPromptTokens = 0;
    target.isOverdue = false;
}

void TargetRegistry::markOverdue(AcquiredTarget& target)
{
    if (target.isOverdue)
        return;
    withProcess(target, [&](TargetState& state) {
        ++state.load.overdue;
        target.isOverdue = true;
    });
}

void TargetRegistry::clearOverdue(TargetState& target, const AcquiredTarget& acquired)
{
    if (acquired.isOverdue)
        target.load.overdue -= std::min(target.load.overdue, 1U);
}

template <typename Function> void TargetRegistry::withProcess(const AcquiredTarget& target, Function&& function)
{
    m_services.withShard(target.service, [&](auto& services) {
        auto& targets = services[target.service];
        const auto entry = targets.find(target.id);
        if (entry == targets.end())
            return;
        const auto& record = entry->second.record;
        if (record.startedUnixMs == target.startedUnixMs && record.address == target.address)
            function(entry->second);
    });
}

bool TargetRegistry::markLeaving(const AcquiredTarget& target)
{
    bool isNew = false;
    withProcess(target, [&](TargetState& state) { isNew = !std::exchange(state.isLeaving, true); });
    return isNew;
}

TimePoint TargetRegistry::pause(const AcquiredTarget& target, Duration duration, TimePoint now)
{
    const auto until = now + std::min(duration, m_settings.maxPause);
    TimePoint end = until;
    withProcess(target, [&](TargetState& state) { end = state.pausedUntil = std::max(state.pausedUntil, until); });
    return end;
}

bool TargetRegistry::recordBrittleness(
    const AcquiredTarget& target, std::optional<uint32_t> refusalLimit, TimePoint now)
{
    bool isNew = false;
    withProcess(
        target, [&](TargetState& state) { isNew = state.brittle.recordAnswer(refusalLimit, now, m_settings.brittle); });
    return isNew;
}

void TargetRegistry::release(
    const AcquiredTarget& target, const TargetQuery& query, TargetAttemptResult result, TimePoint now)
{
    m_services.withShard(target.service, [&](auto& services) {
        auto& targets = services[target.service];
        const auto entry = targets.find(target.id);
        if (entry == targets.end())
            return;
        auto& state = entry->second;
        state.load.inFlight -= std::min(state.load.inFlight, 1U);
        state.load.pendingPromptTokens -= std::min(state.load.pendingPromptTokens, target.pendingPromptTokens);
        clearOverdue(state, target);
        if (const auto runs = state.inFlightByModel.find(query.model);
            runs != state.inFlightByModel.end() && --runs->second == 0)
            state.inFlightByModel.erase(runs);
        switch (result) {
        case TargetAttemptResult::Good:
            state.pace.countAnswer();
            state.consecutiveFailures = 0;
            state.suspectUntil = {};
            break;
        case TargetAttemptResult::Full:
            state.brittle.recordRefusal(m_nodeCount, now, m_settings.brittle);
            // An engine also refuses requests for a model that it is about to unload, while it serves its other models.
            if (query.model.empty())
                state.fullUntil = now + m_settings.fullBackoff;
            else
                state.absentUntil[modelKey(query)] = now + m_settings.fullBackoff;
            break;
        case TargetAttemptResult::Absent:
            if (query.model.empty())
                state.suspectUntil = now + m_settings.suspectDuration;
            else
                state.absentUntil[modelKey(query)] = now + m_settings.absentBackoff;
            break;
        case TargetAttemptResult::Failed:
            state.consecutiveFailures = std::min(state.consecutiveFailures + 1, maxSuspectFactor);
            state.suspectUntil = now + m_settings.suspectDuration * state.consecutiveFailures;
            break;
        case TargetAttemptResult::Inconclusive:
            state.brittle.recordCancellation(now, m_settings.brittle);
            break;
        }
    });
}

std::vector<TargetRecord> TargetRegistry::records() const
{
    std::vector<TargetRecord> records;
    m_services.forEachShard([&](const auto& services) {
        for (const auto& [service, targets] : services) {
            for (const auto& [id, target] : targets) {
                records.push_back(target.record);
                if (target.isLeaving)
                    records.back().phase = TargetPhase::Draining;
            }
        }
    });
    return records;
}

size_t TargetRegistry::count() const
{
    size_t count = 0;
    m_services.forEachShard([&](const auto& services) {
        for (const auto& [service, targets] : services)
            count += targets.size();
    });
    return count;
}

std::set<std::string> TargetRegistry::ids() const
{
    std::set<std::string> ids;
    m_services.forEachShard([&](const auto& services) {
        for (const auto& [service, targets] : services) {
            for (const auto& [id, target] : targets)
                ids.insert(id);
        }
    });
    return ids;
}

std::set<ServiceVersion> TargetRegistry::softwareVersions() const
{
    std::set<ServiceVersion> versions;
    m_services.forEachShard([&](const auto& services) {
        for (const auto& [service, targets] : services) {
            const std::string* last = nullptr; // Most neighbours have the same version.
            for (const auto& [id, target] : targets) {
                if (!last || *last != target.record.softwareVersion)
                    versions.insert({ service, target.record.softwareVersion });
                last = &target.record.softwareVersion;
            }
        }
    });
    return versions;
}

void TargetRegistry::setModels(
    const std::string& service, const std::string& id, const std::vector<LoadedModel>& models)
{
    m_services.withShard(service, [&](auto& services) {
        const auto targets = services.find(service);
        if (targets == services.end())
            return;
        const auto target = targets->second.find(id);
        if (target != targets->second.end())
            target->second.record.models = models;
    });
}

std::vector<ResponsivenessChange> TargetRegistry::setRemoteLoads(const TargetWorkloads& loads, TimePoint now)
{
    std::vector<ResponsivenessChange> changes;
    m_services.forEachShard([&](auto& services) {
        for (auto& [service, targets] : services) {
            for (auto& [id, target] : targets) {
                const auto load = loads.find(id);
                target.remoteLoad = load == loads.end() ? TargetWorkload {} : load->second;
                target.remoteLoadSetAt = now;
                target.pace.setRemoteAnswers(target.remoteLoad.answers);
                // Evidence of all nodes together: each one has few requests at a target.
                const auto total = totalLoad(target, now);
                const bool wasUnresponsive = std::exchange(target.isUnresponsive,
                    total.overdue > 0 && total.overdue >= total.inFlight * m_settings.unresponsiveFraction);
                if (!m_isLargeFleet)
                    continue;
                if (target.isUnresponsive || wasUnresponsive)
                    target.pace.restart(now);
                if (target.isUnresponsive != wasUnresponsive)
                    changes.push_back({ id, target.isUnresponsive, total.overdue, total.inFlight });
            }
        }
    });
    return changes;
}

std::set<std::string> TargetRegistry::suspectTargets(TimePoint now) const
{
    std::set<std::string> ids;
    m_services.forEachShard([&](const auto& services) {
        for (const auto& [service, targets] : services) {
            for (const auto& [id, target] : targets) {
                if (target.suspectUntil > now)
                    ids.insert(id);
            }
        }
    });
    return ids;
}

TargetWorkloads TargetRegistry::loads() const
{
    TargetWorkloads loads;
    m_services.forEachShard([&](const auto& services) {
        for (const auto& [service, targets] : services) {
            for (const auto& [id, target] : targets) {
                loads[id] = target.load;
                loads[id].answers = target.pace.ownAnswers();
            }
        }
    });
    return loads;
}

InFlightByTargetAndModel TargetRegistry::inFlightByTargetAndModel() const
{
    InFlightByTargetAndModel inFlight;
    m_services.forEachShard([&](const auto& services) {
        for (const auto& [service, targets] : services) {
            for (const auto& [id, target] : targets) {
                if (!target.inFlightByModel.empty())
                    inFlight[id] = target.inFlightByModel;
            }
        }
    });
    return inFlight;
}

std::string TargetRegistry::modelKey(const TargetQuery& query)
{
    return query.adapter.empty() ? query.model : query.model + "/" + query.adapter;
}

TargetWorkload TargetRegistry::totalLoad(const TargetState& target, TimePoint now) const
{
    if (now - target.remoteLoadSetAt >= m_settings.remoteLoadLifetime)
        return target.load;
    return { target.load.inFlight + target.remoteLoad.inFlight,
        target.load.pendingPromptTokens + target.remoteLoad.pendingPromptTokens,
        target.load.overdue + target.remoteLoad.overdue, target.remoteLoad.answers, target.remoteLoad.beyondShare,
        target.remoteLoad.brittleLimit };
}

bool TargetRegistry::isPromptBacklogged(const TargetState& target, const TargetQuery& query, TimePoint now) const
{
    const auto pendingTokens = totalLoad(target, now).pendingPromptTokens;
    return pendingTokens > 0 && pendingTokens + query.promptTokens > m_settings.maxPendingPromptTokens;
}

bool TargetRegistry::isOverloaded(const TargetState& target, const TargetQuery& query, TimePoint now) const
{
    return query.excludesOverloaded && m_isLargeFleet && !query.model.empty()
        && totalLoad(target, now).inFlight >= m_settings.maxEngineLoad * std::max(1U, target.record.slots);
}

void TargetRegistry::addOtherTargetCost(std::vector<Candidate>& candidates, double cost) const
{
    if (candidates.size() <= m_settings.preferredTargets)
        return;
    std::vector<std::pair<uint64_t, Candidate*>> ranking;
    ranking.reserve(candidates.size());
    for (auto& candidate : candidates)
        ranking.emplace_back(rendezvousWeight(m_settings.nodeId, candidate.target->record.id), &candidate);
    const auto firstOther = ranking.begin() + static_cast<std::ptrdiff_t>(m_settings.preferredTargets);
    std::nth_element(ranking.begin(), firstOther, ranking.end(), std::greater<>());
    for (auto other = firstOther; other != ranking.end(); ++other)
        other->second->cost += cost;
}

double TargetRegistry::selectionCost(TargetState& target, TimePoint now) const
{
    const auto load = totalLoad(target, now);
    double cost = (load.inFlight + 1.0) / std::max(1U, target.record.slots);
    cost += static_cast<double>(load.pendingPromptTokens) / m_settings.maxPendingPromptTokens
        * m_settings.pendingPromptCost;
    if (target.record.failureDomain != m_settings.failureDomain)
        cost += m_settings.remoteDomainCost;
    if (target.suspectUntil > now || target.versionSettledAt > now)
        cost += suspectCost;
    if (target.fullUntil > now)
        cost += fullCost;
    return m_isLargeFleet ? cost + paceCost(target, now) : cost;
}

double TargetRegistry::paceCost(TargetState& target, TimePoint now) const
{
    if (target.isUnresponsive)
        return unresponsiveCost;
    const auto slots = std::max(1U, target.record.slots);
    if (target.pace.updateFullPace(slots, m_settings.pace, now))
        return 0;
    // As many nodes as the window allows requests, the same ones for all requests to the target.
    constexpr double weightRange = 18446744073709551616.0;
    const double position = static_cast<double>(rendezvousWeight(target.record.id, m_settings.nodeId)) / weightRange;
    const auto nodes = static_cast<double>(m_nodeCount.load());
    return position * nodes < target.pace.window(slots, m_settings.pace, now) ? 0 : beyondPaceCost;
}

} // namespace cyclamenstair

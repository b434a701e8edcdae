#include <Cyclamenstair/Fleet/TargetRegistry.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Cost added to a target that is suspected, so that it is chosen only if all others are, too.
    constexpr double suspectCost = 1000;
    /// Cost added to a target that has just refused for lack of room; below that of a suspected one.
    constexpr double fullCost = 100;
    /// Longest suspicion after failures in a row, as a multiple of the first one.
    constexpr uint32_t maxSuspicionFactor = 4;

} // namespace

void TargetRegistry::update(const TargetRecord& record, int64_t revision)
{
    m_services.withShard(record.service, [&](auto& services) {
        auto& target = services[record.service][record.id];
        if (revision <= target.revision)
            return;
        const bool isSameRun
            = target.record.startedUnixMs == record.startedUnixMs && target.record.address == record.address;
        if (!isSameRun) {
            target.suspectUntil = {};
            target.fullUntil = {};
            target.absentUntil.clear();
            target.failuresInARow = 0;
        }
        target.record = record;
        target.revision = revision;
    });
}

void TargetRegistry::remove(const std::string& id, int64_t revision)
{
    m_services.forEachShard([&](auto& services) {
        for (auto& [service, targets] : services)
            std::erase_if(
                targets, [&](const auto& entry) { return entry.first == id && entry.second.revision < revision; });
    });
}

void TargetRegistry::replaceAll(const std::vector<std::pair<TargetRecord, int64_t>>& records, int64_t revision)
{
    std::set<std::string> present;
    for (const auto& [record, recordRevision] : records) {
        present.insert(record.id);
        update(record, recordRevision);
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
            return TargetShortage::NoTarget;
        TargetState* best = nullptr;
        double bestCost = 0;
        bool isAnyReady = false;
        bool isModelHeld = false;
        bool isAnyUnread = false;
        for (auto& [id, target] : service->second) {
            if (target.record.phase != TargetPhase::Ready || query.excluded.contains(id))
                continue;
            isAnyReady = true;
            if (!query.model.empty()) {
                isModelHeld = isModelHeld || target.record.holds(query.model, {});
                if (!target.record.holds(query.model, query.adapter))
                    continue;
                const auto absent = target.absentUntil.find(artifactOf(query));
                if (absent != target.absentUntil.end() && absent->second > now)
                    continue;
            }
            if (query.mayWait && isReading(target, query, now)) {
                isAnyUnread = true;
                continue;
            }
            // The random part breaks ties differently on each node.
            const double cost = costOf(target, now) + randomUnit(random) * 0.01;
            if (!best || cost < bestCost) {
                best = &target;
                bestCost = cost;
            }
        }
        if (!best) {
            if (!isAnyReady)
                return TargetShortage::NoTarget;
            if (isAnyUnread)
                return TargetShortage::PromptsUnread;
            return isModelHeld && !query.adapter.empty() ? TargetShortage::AdapterAbsent : TargetShortage::ModelAbsent;
        }
        ++best->load.inFlight;
        best->load.unreadTokens += query.promptTokens;
        if (!query.model.empty())
            ++best->modelRuns[query.model];
        return AcquiredTarget { best->record.id, best->record.address, query.service, query.promptTokens };
    });
}

void TargetRegistry::notePromptRead(AcquiredTarget& target)
{
    m_services.withShard(target.service, [&](auto& services) {
        auto& targets = services[target.service];
        const auto found = targets.find(target.id);
        if (found != targets.end())
            found->second.load.unreadTokens -= std::min(found->second.load.unreadTokens, target.unreadTokens);
    });
    target.unreadTokens = 0;
}

void TargetRegistry::release(
    const AcquiredTarget& target, const TargetQuery& query, TargetVerdict verdict, TimePoint now)
{
    m_services.withShard(target.service, [&](auto& services) {
        auto& targets = services[target.service];
        const auto found = targets.find(target.id);
        if (found == targets.end())
            return;
        auto& state = found->second;
        state.load.inFlight -= std::min(state.load.inFlight, 1U);
        state.load.unreadTokens -= std::min(state.load.unreadTokens, target.unreadTokens);
        if (const auto runs = state.modelRuns.find(query.model); runs != state.modelRuns.end() && --runs->second == 0)
            state.modelRuns.erase(runs);
        switch (verdict) {
        case TargetVerdict::Good:
            state.failuresInARow = 0;
            state.suspectUntil = {};
            break;
        case TargetVerdict::Full:
            // An engine also refuses requests for a model that it is about to unload, and serves its other models.
            if (query.model.empty())
                state.fullUntil = now + m_settings.fullPause;
            else
                state.absentUntil[artifactOf(query)] = now + m_settings.fullPause;
            break;
        case TargetVerdict::Absent:
            if (query.model.empty())
                state.suspectUntil = now + m_settings.suspicion;
            else
                state.absentUntil[artifactOf(query)] = now + m_settings.absentPause;
            break;
        case TargetVerdict::Failed:
            state.failuresInARow = std::min(state.failuresInARow + 1, maxSuspicionFactor);
            state.suspectUntil = now + m_settings.suspicion * state.failuresInARow;
            break;
        case TargetVerdict::NoVerdict:
            break;
        }
    });
}

std::vector<TargetRecord> TargetRegistry::records() const
{
    std::vector<TargetRecord> records;
    m_services.forEachShard([&](const auto& services) {
        for (const auto& [service, targets] : services) {
            for (const auto& [id, target] : targets)
                records.push_back(target.record);
        }
    });
    return records;
}

void TargetRegistry::noteModels(const std::string& service, const std::string& id, const std::vector<HeldModel>& models)
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

void TargetRegistry::noteRemote(const std::string& node, const std::map<std::string, TargetUse>& loads, TimePoint now)
{
    m_services.forEachShard([&](auto& services) {
        for (auto& [service, targets] : services) {
            for (auto& [id, target] : targets) {
                const auto load = loads.find(id);
                if (load == loads.end())
                    target.remote.erase(node);
                else
                    target.remote[node] = { load->second, now };
            }
        }
    });
}

std::set<std::string> TargetRegistry::suspects(TimePoint now) const
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

std::map<std::string, TargetUse> TargetRegistry::loads() const
{
    std::map<std::string, TargetUse> loads;
    m_services.forEachShard([&](const auto& services) {
        for (const auto& [service, targets] : services) {
            for (const auto& [id, target] : targets)
                loads[id] = target.load;
        }
    });
    return loads;
}

ModelRuns TargetRegistry::modelRuns() const
{
    ModelRuns runs;
    m_services.forEachShard([&](const auto& services) {
        for (const auto& [service, targets] : services) {
            for (const auto& [id, target] : targets) {
                if (!target.modelRuns.empty())
                    runs[id] = target.modelRuns;
            }
        }
    });
    return runs;
}

std::string TargetRegistry::artifactOf(const TargetQuery& query)
{
    return query.adapter.empty() ? query.model : query.model + "/" + query.adapter;
}

TargetUse TargetRegistry::totalLoad(const TargetState& target, TimePoint now) const
{
    TargetUse sum = target.load;
    for (const auto& [node, remote] : target.remote) {
        if (now - remote.at >= m_settings.remoteValidity)
            continue;
        sum.inFlight += remote.load.inFlight;
        sum.unreadTokens += remote.load.unreadTokens;
    }
    return sum;
}

bool TargetRegistry::isReading(const TargetState& target, const TargetQuery& query, TimePoint now) const
{
    const auto unread = totalLoad(target, now).unreadTokens;
    return unread > 0 && unread + query.promptTokens > m_settings.maxUnreadTokens;
}

double TargetRegistry::costOf(const TargetState& target, TimePoint now) const
{
    const auto load = totalLoad(target, now);
    double cost = (load.inFlight + 1.0) / std::max(1U, target.record.slots);
    cost += static_cast<double>(load.unreadTokens) / m_settings.maxUnreadTokens * m_settings.unreadWeight;
    if (target.record.failureDomain != m_settings.failureDomain)
        cost += m_settings.remoteHandicap;
    if (target.suspectUntil > now)
        cost += suspectCost;
    if (target.fullUntil > now)
        cost += fullCost;
    return cost;
}

} // namespace cyclamenstair

#include <Benchmarks/Soak/DayTargets.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cyclamenstair {

namespace {

    constexpr auto writeInterval = milliseconds(1200);
    constexpr auto entryLifetime = 3 * writeInterval;
    /// Part of the engines that hold the model that is asked for most, and of the next ones a half each.
    constexpr double busiestModelShare = 0.75;

    EngineWorkload engineWorkload(const Site& site, const SiteEngine& engine)
    {
        EngineWorkload workload;
        workload.memoryTokens = engine.memoryTokens;
        workload.weightsMb = engine.weightsMb;
        workload.adapterSlots = engine.adapterSlots;
        workload.stepTime = engine.stepTime;
        workload.stepTimePerRequest = engine.stepTimePerRequest;
        workload.promptTokensPerMs = engine.promptTokensPerMs;
        workload.tokensPerEvent = engine.tokensPerEvent;
        for (const auto& model : site.models)
            workload.models.push_back({ model.name, model.weightsMb, model.loadTime, model.warmLoadTime,
                model.stepFactor, model.adapterCount, model.adapterLoadTime });
        return workload;
    }

    int64_t loadedMb(const EngineWorkload& workload)
    {
        return std::accumulate(workload.models.begin(), workload.models.end(), int64_t { 0 },
            [&](int64_t sum, const SimulatedModel& model) {
                return sum + (workload.loadedModels.contains(model.name) ? model.weightsMb : 0);
            });
    }

} // namespace

ServiceWorkload serviceWorkload(const Site& site, const std::string& service)
{
    ServiceWorkload workload;
    Duration workTime {};
    size_t responseBytes = 0;
    double errorShare = 0;
    int count = 0;
    for (const auto& kind : site.requestKinds) {
        if (kind.service != service)
            continue;
        ++count;
        workTime += kind.workTime;
        responseBytes += kind.responseBytes;
        errorShare += kind.errorShare;
    }
    if (count == 0)
        return workload;
    workload.meanWorkTime = workTime / count;
    workload.meanResponseBytes = responseBytes / static_cast<size_t>(count);
    workload.errorShare = errorShare / count;
    return workload;
}

DayTargets::DayTargets(const DaySettings& settings, RegistryStoreStandIn& store)
    : m_site(&settings.site)
    , m_store(&store)
    , m_foreignEntries(store, settings.seed)
{
    for (const auto& service : settings.site.services) {
        std::vector<SimulatedTargetSettings> created;
        for (const auto& [domain, count] : service.targetCounts) {
            for (size_t i = 0; i < count; ++i) {
                SimulatedTargetSettings target;
                target.id = "i-" + service.name + "-" + domain + "-" + std::to_string(i);
                target.service = service.name;
                target.failureDomain = domain;
                target.slots = service.slots;
                target.maxQueued = service.maxQueued;
                target.maxConnections = service.maxConnections;
                target.seed = settings.seed + created.size();
                if (service.engine)
                    target.workload = engineWorkload(settings.site, *service.engine);
                else
                    target.workload = serviceWorkload(settings.site, service.name);
                created.push_back(std::move(target));
            }
        }
        if (service.engine)
            place(created, service);
        for (auto& target : created) {
            Entry entry { nullptr, target.service, target.failureDomain, target.id, {} };
            entry.simulated = std::move(SimulatedTarget::create(std::move(target))).value();
            m_targets.push_back(std::move(entry));
        }
    }
}

void DayTargets::place(std::vector<SimulatedTargetSettings>& engines, const SiteService& service) const
{
    // Models in the order of demand, then those that kinds of requests name first.
    std::vector<size_t> order(m_site->models.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
        [&](size_t a, size_t b) { return m_site->models[a].demandShare > m_site->models[b].demandShare; });
    const auto limit = std::max<size_t>(service.engine->residentModels, 1);
    size_t next = 0;
    const auto load = [&](const SiteModel& model) {
        // Engines take turns, so that models are spread over the failure domains.
        for (size_t i = 0; i < engines.size(); ++i) {
            auto& workload = std::get<EngineWorkload>(engines[(next + i) % engines.size()].workload);
            if (workload.loadedModels.size() >= limit || workload.loadedModels.contains(model.name)
                || loadedMb(workload) + model.weightsMb > workload.weightsMb)
                continue;
            workload.loadedModels.insert(model.name);
            next += i + 1;
            return;
        }
    };
    // One copy of each model comes first, as far as there is room; the busy ones fill the rest.
    for (const auto index : order)
        load(m_site->models[index]);
    double share = busiestModelShare;
    for (const auto index : order) {
        if (m_site->models[index].demandShare <= 0)
            break;
        const auto copies = static_cast<size_t>(share * static_cast<double>(engines.size()));
        for (size_t i = 1; i < copies; ++i)
            load(m_site->models[index]);
        share /= 2;
    }
}

std::vector<size_t> DayTargets::draw(const std::string& service, double share, Random& random) const
{
    std::vector<size_t> indices;
    for (size_t i = 0; i < m_targets.size(); ++i) {
        if (service.empty() || m_targets[i].service == service)
            indices.push_back(i);
    }
    std::shuffle(indices.begin(), indices.end(), random);
    const auto count = static_cast<size_t>(std::lround(share * static_cast<double>(indices.size())));
    indices.resize(std::clamp<size_t>(count, std::min<size_t>(1, indices.size()), indices.size()));
    return indices;
}

void DayTargets::tick(bool isStoreReachable, bool expires)
{
    const auto now = monotonicNow();
    if (const auto text = m_targets.front().simulated->entry(); text && isStoreReachable)
        m_foreignEntries.tick(*text);
    for (auto& target : m_targets) {
        const auto text = target.simulated->entry();
        if (text && isStoreReachable && now - target.writtenAt >= writeInterval) {
            const auto id = target.simulated->id();
            if (id != target.id)
                m_store->remove("servers/" + target.id);
            target.id = id;
            target.writtenAt = now;
            m_store->put("servers/" + id, *text);
        } else if (now - target.writtenAt > entryLifetime && (isStoreReachable || expires)) {
            m_store->remove("servers/" + target.id);
        }
    }
}

std::vector<std::pair<std::string, std::string>> DayTargets::entries() const
{
    std::vector<std::pair<std::string, std::string>> entries;
    for (const auto& target : m_targets) {
        const auto text = target.simulated->entry();
        if (text && target.simulated->id() == target.id)
            entries.emplace_back(target.id, *text);
    }
    return entries;
}

void DayTargets::crash(size_t index) { m_targets[index].simulated->crash(); }

void DayTargets::restart(size_t index)
{
    auto& target = m_targets[index];
    ++target.boots;
    const auto base = "i-" + std::to_string(index) + "-" + target.service;
    target.simulated->restart(base + "-boot-" + std::to_string(target.boots));
}

} // namespace cyclamenstair

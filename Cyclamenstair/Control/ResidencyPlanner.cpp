#include <Cyclamenstair/Control/ResidencyPlanner.h>

#include <algorithm>
#include <limits>

namespace cyclamenstair {

namespace {

    /// What a running request at an engine adds to the cost of an unload there, which waits for the model's runs, in
    /// requests per copy.
    constexpr double waitPerRun = 0.1;
    /// What weights that are at hand take off the cost, as their load is several times faster.
    constexpr double cachedAdvantage = 0.5;

} // namespace

ResidencyPlanner::ResidencyPlanner(const PlannerInput& input, const ResidencyPlannerSettings& settings)
    : m_input(&input)
    , m_settings(&settings)
    , m_weightLoads(input.weightLoads)
{
    countCopies();
}

std::vector<TargetOrder> ResidencyPlanner::plan()
{
    // An engine takes no other order while it loads a model, which can take ten seconds, so adapters go before further
    // copies; each takes some ten milliseconds.
    placeAskedForAdapters();
    placeMissingModels();
    placeOtherAdapters();
    placeFurtherCopies();
    return std::move(m_orders);
}

void ResidencyPlanner::countCopies()
{
    const auto& profile = *m_input->engine;
    for (const auto& model : profile.models) {
        ModelState state { &model };
        if (profile.adapterSlots > 0)
            state.leastCopies = std::max(1U, (model.adapterCount + profile.adapterSlots - 1) / profile.adapterSlots);
        m_models.emplace(model.name, state);
    }
    for (const auto& [artifact, demand] : m_input->demand) {
        const auto model = m_models.find(artifact.model);
        if (artifact.service == m_input->service && model != m_models.end())
            model->second.busy += demand.inProgress;
    }
    for (const auto& target : m_input->targets) {
        Engine engine { &target,
            target.isOrderable && !target.isLeaving && !target.report.isBusy && target.loadingModel.empty()
                && target.unloadingModel.empty() };
        engine.adapterPlaces = target.report.incomingAdapters;
        for (const auto& held : target.report.models) {
            const auto model = m_models.find(held.name);
            if (model == m_models.end())
                continue;
            engine.usedMib += model->second.model->weightsMib
                + model->second.model->adapterMib * static_cast<double>(held.adapters.size());
            engine.adapterPlaces += static_cast<uint32_t>(held.adapters.size());
            model->second.copies += target.isLeaving || held.name == target.unloadingModel ? 0 : 1;
        }
        if (const auto loading = m_models.find(target.loadingModel);
            loading != m_models.end() && !holds(engine, target.loadingModel)) {
            engine.usedMib += loading->second.model->weightsMib;
            loading->second.copies += target.isLeaving ? 0 : 1;
        }
        // A copy for which room was made is on its way, unless its engine is lost.
        if (const auto reserved = m_models.find(target.reservedFor); reserved != m_models.end() && !target.isLeaving
            && !holds(engine, target.reservedFor) && target.loadingModel != target.reservedFor)
            reserved->second.reserved += 1;
        m_engines.push_back(engine);
    }
}

void ResidencyPlanner::placeMissingModels()
{
    for (auto& [name, state] : m_models) {
        // Room that was made for the model is used first, and by it alone.
        for (auto& engine : m_engines) {
            const bool hasRoom = engine.usedMib + state.model->weightsMib <= m_input->engine->weightsMib;
            if (engine.target->reservedFor == name && hasRoom && mayLoad(engine, state))
                loadCopy(engine, state);
        }
        if (state.copies + state.reserved == 0)
            placeCopy(state);
    }
}

void ResidencyPlanner::placeFurtherCopies()
{
    // Those with the most requests for each copy first.
    std::vector<ModelState*> wanted;
    for (auto& [name, state] : m_models)
        wanted.push_back(&state);
    std::stable_sort(wanted.begin(), wanted.end(),
        [](const ModelState* a, const ModelState* b) { return busyShare(*a) > busyShare(*b); });
    for (auto* state : wanted) {
        if (state->copies == 0)
            continue;
        // Copies for the sake of adapter places use the weight store's rate only if no busy model needs it.
        const bool isShort = state->copies + state->reserved < state->leastCopies
            && busyShare(*wanted.front()) <= m_settings->busyPerCopy;
        const bool isBusy = busyShare(*state) > m_settings->busyPerCopy;
        if (isShort || isBusy)
            placeCopy(*state);
    }
}

void ResidencyPlanner::placeCopy(ModelState& wanted)
{
    if (auto* engine = engineWithRoom(wanted)) {
        loadCopy(*engine, wanted);
        return;
    }
    const auto [engine, victim] = leastWantedCopy(wanted);
    if (!engine)
        return;
    --victim->copies;
    ++wanted.reserved;
    order(*engine, OrderKind::Unload, victim->model->name, {}, MoveReason::MakeRoom, wanted.model->name);
}

void ResidencyPlanner::loadCopy(Engine& engine, ModelState& wanted)
{
    if (!engine.target->report.cachedModels.contains(wanted.model->name))
        --m_weightLoads;
    engine.usedMib += wanted.model->weightsMib;
    ++wanted.copies;
    if (engine.target->reservedFor == wanted.model->name)
        --wanted.reserved;
    order(engine, OrderKind::Load, wanted.model->name, {},
        wanted.copies == 1 ? MoveReason::PlannedCopy : MoveReason::Demand);
}

ResidencyPlanner::Engine* ResidencyPlanner::engineWithRoom(const ModelState& wanted)
{
    Engine* best = nullptr;
    for (auto& engine : m_engines) {
        const bool hasRoom = engine.usedMib + wanted.model->weightsMib <= m_input->engine->weightsMib;
        if (!hasRoom || !engine.target->reservedFor.empty() || !mayLoad(engine, wanted))
            continue;
        const bool isCached = engine.target->report.cachedModels.contains(wanted.model->name);
        const bool isBestCached = best && best->target->report.cachedModels.contains(wanted.model->name);
        if (!best || (isCached && !isBestCached)
            || (isCached == isBestCached && engine.target->report.running < best->target->report.running))
            best = &engine;
    }
    return best;
}

std::pair<ResidencyPlanner::Engine*, ResidencyPlanner::ModelState*> ResidencyPlanner::leastWantedCopy(
    const ModelState& wanted)
{
    Engine* bestEngine = nullptr;
    ModelState* bestVictim = nullptr;
    double bestCost
        = wanted.copies == 0 ? std::numeric_limits<double>::infinity() : busyShare(wanted) / m_settings->moveAdvantage;
    for (auto& engine : m_engines) {
        if (!engine.target->reservedFor.empty() || !mayLoad(engine, wanted))
            continue;
        for (const auto& held : engine.target->report.models) {
            const auto victim = m_models.find(held.name);
            if (victim == m_models.end() || victim->second.copies <= victim->second.leastCopies)
                continue;
            auto& state = victim->second;
            const bool makesRoom
                = engine.usedMib - state.model->weightsMib + wanted.model->weightsMib <= m_input->engine->weightsMib;
            const double cost = state.busy / (state.copies - 1);
            const bool isCached = engine.target->report.cachedModels.contains(wanted.model->name);
            // Among equals, an engine that has the weights at hand, and one with few runs that the unload waits for.
            const double rank = cost - (isCached ? cachedAdvantage : 0) + engine.target->report.running * waitPerRun;
            if (makesRoom && rank < bestCost) {
                bestEngine = &engine;
                bestVictim = &state;
                bestCost = rank;
            }
        }
    }
    return { bestEngine, bestVictim };
}

void ResidencyPlanner::placeAskedForAdapters()
{
    for (const auto& engine : m_engines)
        m_adaptersInTransit += engine.target->report.incomingAdapters + (engine.target->hasIncomingAdapter ? 1 : 0);
    for (const auto& [artifact, load] : m_input->demand) {
        const auto model = m_models.find(artifact.model);
        if (artifact.service == m_input->service && !artifact.adapter.empty() && model != m_models.end())
            placeAdapter(model->second, artifact.adapter, true);
    }
}

void ResidencyPlanner::placeOtherAdapters()
{
    for (const auto& [name, state] : m_models) {
        for (uint32_t number = 1; number <= state.model->adapterCount; ++number)
            placeAdapter(state, "a" + std::to_string(number), false);
    }
}

void ResidencyPlanner::placeAdapter(const ModelState& state, const std::string& adapter, bool isAskedFor)
{
    if (m_adaptersInTransit >= m_settings->adapterOrdersAtOnce)
        return;
    const auto& name = state.model->name;
    Engine* best = nullptr;
    bool isFull = false;
    for (auto& engine : m_engines) {
        const auto& models = engine.target->report.models;
        const auto held
            = std::find_if(models.begin(), models.end(), [&](const auto& model) { return model.name == name; });
        if (held == models.end() || engine.target->isLeaving || name == engine.target->unloadingModel)
            continue;
        if (held->adapters.contains(adapter))
            return;
        const bool canBeOrdered = engine.target->isOrderable && !engine.isOrdered && !engine.target->report.isBusy
            && !engine.target->hasIncomingAdapter
            && engine.target->report.incomingAdapters < m_settings->adaptersInTransitPerTarget;
        const bool hasPlace = engine.adapterPlaces < m_input->engine->adapterSlots
            && engine.usedMib + state.model->adapterMib <= m_input->engine->weightsMib;
        isFull = isFull || (canBeOrdered && !hasPlace);
        if (canBeOrdered && hasPlace && (!best || engine.adapterPlaces < best->adapterPlaces))
            best = &engine;
    }
    if (best) {
        best->usedMib += state.model->adapterMib;
        ++best->adapterPlaces;
        ++m_adaptersInTransit;
        order(*best, OrderKind::Load, name, adapter, isAskedFor ? MoveReason::Demand : MoveReason::PlannedCopy);
    } else if (isFull && isAskedFor) {
        evictAdapter(name);
    }
}

void ResidencyPlanner::evictAdapter(const std::string& model)
{
    Engine* bestEngine = nullptr;
    const HeldModel* bestModel = nullptr;
    const std::string* bestAdapter = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (auto& engine : m_engines) {
        if (!engine.target->isOrderable || engine.isOrdered || engine.target->report.isBusy
            || engine.target->hasIncomingAdapter || engine.target->isLeaving || !holds(engine, model))
            continue;
        for (const auto& held : engine.target->report.models) {
            for (const auto& adapter : held.adapters) {
                const double wanted = arrivals(held.name, adapter);
                if (wanted < least) {
                    least = wanted;
                    bestEngine = &engine;
                    bestModel = &held;
                    bestAdapter = &adapter;
                }
            }
        }
    }
    // An adapter that is in use stays: its requests would be the next to wait.
    if (bestEngine && least == 0)
        order(*bestEngine, OrderKind::Unload, bestModel->name, *bestAdapter, MoveReason::MakeRoom);
}

double ResidencyPlanner::arrivals(const std::string& model, const std::string& adapter) const
{
    const auto load = m_input->demand.find({ m_input->service, model, adapter });
    return load == m_input->demand.end() ? 0 : load->second.arrivalsPerSecond + load->second.inProgress;
}

bool ResidencyPlanner::holds(const Engine& engine, const std::string& model) const
{
    const auto& models = engine.target->report.models;
    return std::any_of(models.begin(), models.end(), [&](const auto& held) { return held.name == model; });
}

bool ResidencyPlanner::mayLoad(const Engine& engine, const ModelState& wanted) const
{
    const auto& name = wanted.model->name;
    const auto& reservedFor = engine.target->reservedFor;
    const bool isCached = engine.target->report.cachedModels.contains(name);
    return engine.isFree && !engine.isOrdered && !holds(engine, name) && (reservedFor.empty() || reservedFor == name)
        && (isCached || m_weightLoads > 0);
}

void ResidencyPlanner::order(Engine& engine, OrderKind kind, const std::string& model, const std::string& adapter,
    MoveReason reason, const std::string& roomFor)
{
    engine.isOrdered = true;
    const auto& served = m_models.at(roomFor.empty() ? model : roomFor);
    m_orders.push_back({ engine.target->id, kind, model, adapter, reason, served.busy, served.copies, roomFor });
}

} // namespace cyclamenstair

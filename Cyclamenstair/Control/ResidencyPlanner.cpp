#include <Cyclamenstair/Control/ResidencyPlanner.h>

#include <algorithm>
#include <limits>

namespace cyclamenstair {

namespace {

    /// Cost of an unload per request in flight for the model at the engine, in requests per copy. The unload waits some
    /// seconds for the last of these requests, and the engine accepts no other order meanwhile. High enough that among
    /// models of similar demand an idle copy is unloaded first.
    constexpr double unloadCostPerRequest = 2;
    /// Cost reduction if the engine has cached the weights to load, because that load is several times faster.
    constexpr double cachedWeightsDiscount = 0.5;

} // namespace

ResidencyPlanner::ResidencyPlanner(const PlannerInput& input, const ResidencyPlannerSettings& settings)
    : m_input(&input)
    , m_settings(&settings)
    , m_weightLoadBudget(input.weightLoadBudget)
    , m_busyRequestsPerCopy(std::max(1.0, settings.busySlotShare * input.engine->slots))
    , m_maxRequestsPerCopy(std::max(1U, input.engine->slots))
{
    countCopies();
}

std::vector<TargetOrder> ResidencyPlanner::plan()
{
    // An engine accepts no other order while it loads a model, which can take ten seconds. Adapters, which load in
    // about ten milliseconds, are therefore placed before additional copies.
    placeAdaptersInDemand();
    loadReservedModels();
    placeMissingModels(true);
    placeIdleAdapters();
    placeAdditionalCopies();
    // Loads for which no request waits leave a part of the weight store's load rate to requests that may arrive.
    m_weightLoadBudget = std::min(m_weightLoadBudget, m_input->spareLoadBudget);
    placeMissingModels(false);
    placeSpareCopies();
    return std::move(m_orders);
}

void ResidencyPlanner::countCopies()
{
    const auto& profile = *m_input->engine;
    for (const auto& model : profile.models) {
        m_models.emplace(model.name, ModelState { &model });
    }
    for (const auto& [artifact, demand] : m_input->demand) {
        const auto model = m_models.find(artifact.model);
        if (artifact.service != m_input->service || model == m_models.end())
            continue;
        auto& state = model->second;
        state.requestsInProgress += demand.inProgress;
        state.arrivalsPerSecond += demand.arrivalsPerSecond;
        state.isInDemand = true;
        // Only a model in demand needs slots for all of its adapters, because an adapter loads within milliseconds.
        if (profile.adapterSlots > 0)
            state.minCopies
                = std::max(1U, (state.model->adapterCount + profile.adapterSlots - 1) / profile.adapterSlots);
    }
    for (auto& [name, state] : m_models) {
        const bool needsSecondCopy = state.arrivalsPerSecond >= m_settings->secondCopyArrivalsPerSecond;
        state.baselineCopies = std::max(needsSecondCopy ? 2U : 1U, state.minCopies);
    }
    for (const auto& target : m_input->targets) {
        Engine engine { &target,
            target.isOrderable && !target.isLeaving && !target.report.isBusy && target.loadingModel.empty()
                && target.unloadingModel.empty() };
        engine.usedAdapterSlots = target.report.loadingAdapters;
        for (const auto& loaded : target.report.models) {
            const auto model = m_models.find(loaded.name);
            if (model == m_models.end())
                continue;
            engine.usedMib += model->second.model->weightsMib
                + model->second.model->adapterMib * static_cast<double>(loaded.adapters.size());
            engine.usedAdapterSlots += static_cast<uint32_t>(loaded.adapters.size());
            const bool isBeingRemoved = target.isLeaving || !target.isReachable || loaded.name == target.unloadingModel;
            model->second.copies += isBeingRemoved ? 0 : 1;
            model->second.servingCopies += isBeingRemoved || loaded.name == target.loadingModel ? 0 : 1;
        }
        if (const auto loading = m_models.find(target.loadingModel);
            loading != m_models.end() && !hasLoaded(engine, target.loadingModel)) {
            engine.usedMib += loading->second.model->weightsMib;
            loading->second.copies += target.isLeaving || !target.isReachable ? 0 : 1;
        }
        // A reserved copy counts unless its engine is leaving or not reachable.
        if (const auto reserved = m_models.find(target.reservedModel); reserved != m_models.end() && !target.isLeaving
            && target.isReachable && !hasLoaded(engine, target.reservedModel)
            && target.loadingModel != target.reservedModel)
            reserved->second.reservedCopies += 1;
        m_engines.push_back(engine);
    }
}

void ResidencyPlanner::loadReservedModels()
{
    for (auto& engine : m_engines) {
        const auto reserved = m_models.find(engine.target->reservedModel);
        if (reserved == m_models.end())
            continue;
        const bool fitsInMemory = engine.usedMib + reserved->second.model->weightsMib <= m_input->engine->weightsMib;
        if (fitsInMemory && mayLoad(engine, reserved->second))
            orderLoad(engine, reserved->second);
    }
}

std::vector<ResidencyPlanner::ModelState*> ResidencyPlanner::modelsByLoad()
{
    std::vector<ModelState*> models;
    for (auto& [name, state] : m_models)
        models.push_back(&state);
    std::stable_sort(models.begin(), models.end(),
        [](const ModelState* a, const ModelState* b) { return requestsPerCopy(*a) > requestsPerCopy(*b); });
    return models;
}

void ResidencyPlanner::placeMissingModels(bool areInDemand)
{
    for (auto* state : modelsByLoad()) {
        if (state->copies > 0 || state->isInDemand != areInDemand)
            continue;
        // The unload that frees the reserved memory may take long, so free memory of another engine is used if
        // possible.
        if (state->reservedCopies == 0)
            placeCopy(*state);
        else if (auto* engine = findEngineWithMemory(*state))
            orderLoad(*engine, *state);
    }
}

void ResidencyPlanner::placeAdditionalCopies()
{
    const auto models = modelsByLoad();
    const bool isAnyBusy = !models.empty() && requestsPerCopy(*models.front()) > m_busyRequestsPerCopy;
    for (auto* state : models) {
        if (state->copies == 0)
            continue;
        // Busy models have priority in the use of the weight store's load rate.
        const bool isBelowBaseline = state->copies + state->reservedCopies < state->baselineCopies
            && (!isAnyBusy || m_input->spareLoadBudget > 0);
        const bool isBusy = requestsPerCopy(*state) > m_busyRequestsPerCopy;
        if (isBelowBaseline || isBusy)
            placeCopy(*state);
    }
}

void ResidencyPlanner::placeSpareCopies()
{
    if (m_input->spareLoadBudget == 0 || !m_orders.empty())
        return;
    // Models with many adapters are those that callers use directly, and their demand varies most.
    ModelState* best = nullptr;
    for (auto* state : modelsByLoad()) {
        const bool hasSingleCopy = state->copies == 1 && state->reservedCopies == 0;
        if (hasSingleCopy && findEngineWithMemory(*state)
            && (!best || state->model->adapterCount > best->model->adapterCount))
            best = state;
    }
    if (best)
        orderLoad(*findEngineWithMemory(*best), *best);
}

void ResidencyPlanner::placeCopy(ModelState& candidate)
{
    if (auto* engine = findEngineWithMemory(candidate)) {
        orderLoad(*engine, candidate);
        return;
    }
    if (canLoadLater(candidate))
        return;
    const auto [engine, victim] = cheapestVictim(candidate);
    if (!engine)
        return;
    --victim->copies;
    --victim->servingCopies;
    ++candidate.reservedCopies;
    order(*engine, OrderKind::Unload, victim->model->name, {}, MoveReason::MakeRoom, candidate.model->name);
}

void ResidencyPlanner::orderLoad(Engine& engine, ModelState& candidate)
{
    if (!engine.target->report.cachedModels.contains(candidate.model->name))
        --m_weightLoadBudget;
    engine.usedMib += candidate.model->weightsMib;
    ++candidate.copies;
    if (engine.target->reservedModel == candidate.model->name)
        --candidate.reservedCopies;
    order(engine, OrderKind::Load, candidate.model->name, {},
        candidate.copies == 1 ? MoveReason::PlannedCopy : MoveReason::Demand);
}

ResidencyPlanner::Engine* ResidencyPlanner::findEngineWithMemory(const ModelState& candidate)
{
    Engine* best = nullptr;
    for (auto& engine : m_engines) {
        const bool fitsInMemory = engine.usedMib + candidate.model->weightsMib <= m_input->engine->weightsMib;
        if (!fitsInMemory || !engine.target->reservedModel.empty() || !mayLoad(engine, candidate))
            continue;
        const bool isCached = engine.target->report.cachedModels.contains(candidate.model->name);
        const bool isBestCached = best && best->target->report.cachedModels.contains(candidate.model->name);
        if (!best || (isCached && !isBestCached)
            || (isCached == isBestCached && engine.target->report.running < best->target->report.running))
            best = &engine;
    }
    return best;
}

bool ResidencyPlanner::canLoadLater(const ModelState& candidate) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const Engine& engine) {
        // A model in demand would have to wait for the load or unload in progress at the engine.
        const bool isAvailableInTime = engine.acceptsModelOrder || !candidate.isInDemand;
        return isAvailableInTime && engine.target->isOrderable && !engine.target->isLeaving
            && engine.target->reservedModel.empty() && !hasLoaded(engine, candidate.model->name)
            && engine.usedMib + candidate.model->weightsMib <= m_input->engine->weightsMib;
    });
}

double ResidencyPlanner::maxVictimLoad(const ModelState& candidate) const
{
    if (candidate.copies > 0)
        return requestsPerCopy(candidate) / m_settings->minMoveAdvantage;
    return candidate.isInDemand ? m_maxRequestsPerCopy : m_busyRequestsPerCopy;
}

uint32_t ResidencyPlanner::requestsInFlight(const Engine& engine, const std::string& model)
{
    const auto runs = engine.target->inFlightByModel.find(model);
    return runs == engine.target->inFlightByModel.end() ? 0 : runs->second;
}

std::pair<ResidencyPlanner::Engine*, ResidencyPlanner::ModelState*> ResidencyPlanner::cheapestVictim(
    const ModelState& candidate)
{
    Engine* bestEngine = nullptr;
    ModelState* bestVictim = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    const double limit = maxVictimLoad(candidate);
    for (auto& engine : m_engines) {
        if (!engine.target->reservedModel.empty() || !mayLoad(engine, candidate))
            continue;
        const bool isCached = engine.target->report.cachedModels.contains(candidate.model->name);
        for (const auto& loaded : engine.target->report.models) {
            const auto victim = m_models.find(loaded.name);
            if (victim == m_models.end())
                continue;
            auto& state = victim->second;
            // A second copy is unloaded only in favour of a model without a copy.
            if (state.copies <= (candidate.copies > 0 ? state.baselineCopies : state.minCopies))
                continue;
            // A copy that is still loading does not replace one that serves requests.
            if (state.servingCopies <= 1)
                continue;
            const bool fitsAfterUnload
                = engine.usedMib - state.model->weightsMib + candidate.model->weightsMib <= m_input->engine->weightsMib;
            const double loadAfterUnload = state.requestsInProgress / (state.servingCopies - 1);
            const double cost = loadAfterUnload + requestsInFlight(engine, loaded.name) * unloadCostPerRequest
                - (isCached ? cachedWeightsDiscount : 0);
            if (fitsAfterUnload && loadAfterUnload < limit && cost < bestCost) {
                bestEngine = &engine;
                bestVictim = &state;
                bestCost = cost;
            }
        }
    }
    return { bestEngine, bestVictim };
}

void ResidencyPlanner::placeAdaptersInDemand()
{
    for (const auto& engine : m_engines)
        m_adapterLoads += engine.target->report.loadingAdapters + (engine.target->isAdapterLoading ? 1 : 0);
    for (const auto& [artifact, load] : m_input->demand) {
        const auto model = m_models.find(artifact.model);
        if (artifact.service == m_input->service && !artifact.adapter.empty() && model != m_models.end())
            placeAdapter(model->second, artifact.adapter, true);
    }
}

void ResidencyPlanner::placeIdleAdapters()
{
    for (const auto& [name, state] : m_models) {
        for (uint32_t number = 1; number <= state.model->adapterCount; ++number)
            placeAdapter(state, "a" + std::to_string(number), false);
    }
}

void ResidencyPlanner::placeAdapter(const ModelState& state, const std::string& adapter, bool isInDemand)
{
    if (m_adapterLoads >= m_settings->maxAdapterLoads)
        return;
    const auto& name = state.model->name;
    Engine* best = nullptr;
    bool hasFullEngine = false;
    for (auto& engine : m_engines) {
        const auto& models = engine.target->report.models;
        const auto loaded
            = std::find_if(models.begin(), models.end(), [&](const auto& model) { return model.name == name; });
        if (loaded == models.end() || engine.target->isLeaving || name == engine.target->unloadingModel)
            continue;
        if (loaded->adapters.contains(adapter))
            return;
        const bool acceptsAdapterOrder = engine.target->isOrderable && !engine.hasOrder && !engine.target->report.isBusy
            && !engine.target->isAdapterLoading
            && engine.target->report.loadingAdapters < m_settings->maxAdapterLoadsPerTarget;
        const bool hasFreeSlot = engine.usedAdapterSlots < m_input->engine->adapterSlots
            && engine.usedMib + state.model->adapterMib <= m_input->engine->weightsMib;
        hasFullEngine = hasFullEngine || (acceptsAdapterOrder && !hasFreeSlot);
        if (acceptsAdapterOrder && hasFreeSlot && (!best || engine.usedAdapterSlots < best->usedAdapterSlots))
            best = &engine;
    }
    if (best) {
        best->usedMib += state.model->adapterMib;
        ++best->usedAdapterSlots;
        ++m_adapterLoads;
        order(*best, OrderKind::Load, name, adapter, isInDemand ? MoveReason::Demand : MoveReason::PlannedCopy);
    } else if (hasFullEngine && isInDemand) {
        evictAdapter(name);
    }
}

void ResidencyPlanner::evictAdapter(const std::string& model)
{
    Engine* bestEngine = nullptr;
    const LoadedModel* bestModel = nullptr;
    const std::string* bestAdapter = nullptr;
    double minDemand = std::numeric_limits<double>::infinity();
    for (auto& engine : m_engines) {
        if (!engine.target->isOrderable || engine.hasOrder || engine.target->report.isBusy
            || engine.target->isAdapterLoading || engine.target->isLeaving || !hasLoaded(engine, model))
            continue;
        for (const auto& loaded : engine.target->report.models) {
            for (const auto& adapter : loaded.adapters) {
                const double demand = adapterDemand(loaded.name, adapter);
                if (demand < minDemand) {
                    minDemand = demand;
                    bestEngine = &engine;
                    bestModel = &loaded;
                    bestAdapter = &adapter;
                }
            }
        }
    }
    // An adapter in demand is not evicted, because its requests would be the next to wait.
    if (bestEngine && minDemand == 0)
        order(*bestEngine, OrderKind::Unload, bestModel->name, *bestAdapter, MoveReason::MakeRoom);
}

double ResidencyPlanner::adapterDemand(const std::string& model, const std::string& adapter) const
{
    const auto load = m_input->demand.find({ m_input->service, model, adapter });
    return load == m_input->demand.end() ? 0 : load->second.arrivalsPerSecond + load->second.inProgress;
}

bool ResidencyPlanner::hasLoaded(const Engine& engine, const std::string& model) const
{
    const auto& models = engine.target->report.models;
    return std::any_of(models.begin(), models.end(), [&](const auto& loaded) { return loaded.name == model; });
}

bool ResidencyPlanner::mayLoad(const Engine& engine, const ModelState& candidate) const
{
    const auto& name = candidate.model->name;
    const auto& reservedModel = engine.target->reservedModel;
    const bool isCached = engine.target->report.cachedModels.contains(name);
    return engine.acceptsModelOrder && !engine.hasOrder && !hasLoaded(engine, name)
        && (reservedModel.empty() || reservedModel == name) && (isCached || m_weightLoadBudget > 0);
}

void ResidencyPlanner::order(Engine& engine, OrderKind kind, const std::string& model, const std::string& adapter,
    MoveReason reason, const std::string& replacementModel)
{
    engine.hasOrder = true;
    const auto& beneficiary = m_models.at(replacementModel.empty() ? model : replacementModel);
    m_orders.push_back({ engine.target->id, kind, model, adapter, reason, beneficiary.requestsInProgress,
        beneficiary.copies, replacementModel });
}

} // namespace cyclamenstair

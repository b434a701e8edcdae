#include <Cyclamenstair/Control/ResidencyPlanner.h>

#include <algorithm>
#include <limits>

namespace cyclamenstair {

namespace {

    /// What a request in flight for a model at an engine adds to the cost of an unload there, in requests per copy. The
    /// unload waits for the last of them, some seconds, and the engine takes no other order meanwhile. High enough that
    /// among models of similar demand a copy that runs nothing goes first.
    constexpr double waitPerRun = 2;
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
    useReservedRoom();
    placeMissingModels(true);
    placeOtherAdapters();
    placeFurtherCopies();
    // Loads that no request waits for leave a part of the weight store's rate free for those that may come.
    m_weightLoads = std::min(m_weightLoads, m_input->spareLoads);
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
        state.busy += demand.inProgress;
        state.arrivalsPerSecond += demand.arrivalsPerSecond;
        state.isAskedFor = true;
        // An adapter is loaded within milliseconds, so a model that nobody asks for needs no places for all of its own.
        if (profile.adapterSlots > 0)
            state.leastCopies
                = std::max(1U, (state.model->adapterCount + profile.adapterSlots - 1) / profile.adapterSlots);
    }
    for (auto& [name, state] : m_models) {
        const bool needsSecond = state.arrivalsPerSecond >= m_settings->arrivalsForSecondCopy;
        state.steadyCopies = std::max(needsSecond ? 2U : 1U, state.leastCopies);
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
            const bool isGoing = target.isLeaving || !target.isReachable || held.name == target.unloadingModel;
            model->second.copies += isGoing ? 0 : 1;
            model->second.usable += isGoing || held.name == target.loadingModel ? 0 : 1;
        }
        if (const auto loading = m_models.find(target.loadingModel);
            loading != m_models.end() && !holds(engine, target.loadingModel)) {
            engine.usedMib += loading->second.model->weightsMib;
            loading->second.copies += target.isLeaving || !target.isReachable ? 0 : 1;
        }
        // A copy for which room was made is on its way, unless its engine is lost.
        if (const auto reserved = m_models.find(target.reservedFor); reserved != m_models.end() && !target.isLeaving
            && target.isReachable && !holds(engine, target.reservedFor) && target.loadingModel != target.reservedFor)
            reserved->second.reserved += 1;
        m_engines.push_back(engine);
    }
}

void ResidencyPlanner::useReservedRoom()
{
    for (auto& engine : m_engines) {
        const auto reserved = m_models.find(engine.target->reservedFor);
        if (reserved == m_models.end())
            continue;
        const bool hasRoom = engine.usedMib + reserved->second.model->weightsMib <= m_input->engine->weightsMib;
        if (hasRoom && mayLoad(engine, reserved->second))
            loadCopy(engine, reserved->second);
    }
}

std::vector<ResidencyPlanner::ModelState*> ResidencyPlanner::busiestModels()
{
    std::vector<ModelState*> models;
    for (auto& [name, state] : m_models)
        models.push_back(&state);
    std::stable_sort(models.begin(), models.end(),
        [](const ModelState* a, const ModelState* b) { return busyShare(*a) > busyShare(*b); });
    return models;
}

void ResidencyPlanner::placeMissingModels(bool areAskedFor)
{
    for (auto* state : busiestModels()) {
        if (state->copies > 0 || state->isAskedFor != areAskedFor)
            continue;
        // Room that is being made may be a long wait, so room elsewhere is taken if there is any.
        if (state->reserved == 0)
            placeCopy(*state);
        else if (auto* engine = engineWithRoom(*state))
            loadCopy(*engine, *state);
    }
}

void ResidencyPlanner::placeFurtherCopies()
{
    const auto wanted = busiestModels();
    const bool isAnyBusy = busyShare(*wanted.front()) > m_settings->busyPerCopy;
    for (auto* state : wanted) {
        if (state->copies == 0)
            continue;
        // Busy models come first in the use of the weight store's rate.
        const bool isShort
            = state->copies + state->reserved < state->steadyCopies && (!isAnyBusy || m_input->spareLoads > 0);
        const bool isBusy = busyShare(*state) > m_settings->busyPerCopy;
        if (isShort || isBusy)
            placeCopy(*state);
    }
}

void ResidencyPlanner::placeSpareCopies()
{
    if (m_input->spareLoads == 0 || !m_orders.empty())
        return;
    // Adapters are made for models that callers use directly, whose demand moves most.
    ModelState* best = nullptr;
    for (auto* state : busiestModels()) {
        const bool isSingle = state->copies == 1 && state->reserved == 0;
        if (isSingle && engineWithRoom(*state) && (!best || state->model->adapterCount > best->model->adapterCount))
            best = state;
    }
    if (best)
        loadCopy(*engineWithRoom(*best), *best);
}

void ResidencyPlanner::placeCopy(ModelState& wanted)
{
    if (auto* engine = engineWithRoom(wanted)) {
        loadCopy(*engine, wanted);
        return;
    }
    if (isRoomAhead(wanted))
        return;
    const auto [engine, victim] = leastWantedCopy(wanted);
    if (!engine)
        return;
    --victim->copies;
    --victim->usable;
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

bool ResidencyPlanner::isRoomAhead(const ModelState& wanted) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const Engine& engine) {
        // An engine in the middle of a load keeps a model waiting that is asked for.
        const bool isInTime = engine.isFree || !wanted.isAskedFor;
        return isInTime && engine.target->isOrderable && !engine.target->isLeaving && engine.target->reservedFor.empty()
            && !holds(engine, wanted.model->name)
            && engine.usedMib + wanted.model->weightsMib <= m_input->engine->weightsMib;
    });
}

double ResidencyPlanner::yieldLimit(const ModelState& wanted) const
{
    if (wanted.copies > 0)
        return busyShare(wanted) / m_settings->moveAdvantage;
    return wanted.isAskedFor ? m_settings->mostBusyPerCopy : m_settings->busyPerCopy;
}

uint32_t ResidencyPlanner::runsOf(const Engine& engine, const std::string& model)
{
    const auto runs = engine.target->modelRuns.find(model);
    return runs == engine.target->modelRuns.end() ? 0 : runs->second;
}

std::pair<ResidencyPlanner::Engine*, ResidencyPlanner::ModelState*> ResidencyPlanner::leastWantedCopy(
    const ModelState& wanted)
{
    Engine* bestEngine = nullptr;
    ModelState* bestVictim = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    const double limit = yieldLimit(wanted);
    for (auto& engine : m_engines) {
        if (!engine.target->reservedFor.empty() || !mayLoad(engine, wanted))
            continue;
        const bool isCached = engine.target->report.cachedModels.contains(wanted.model->name);
        for (const auto& held : engine.target->report.models) {
            const auto victim = m_models.find(held.name);
            if (victim == m_models.end())
                continue;
            auto& state = victim->second;
            // A second copy yields to a model without one only.
            if (state.copies <= (wanted.copies > 0 ? state.steadyCopies : state.leastCopies))
                continue;
            // A copy that is being loaded replaces none that serves.
            if (state.usable <= 1)
                continue;
            const bool makesRoom
                = engine.usedMib - state.model->weightsMib + wanted.model->weightsMib <= m_input->engine->weightsMib;
            const double shareAfter = state.busy / (state.usable - 1);
            const double cost = shareAfter + runsOf(engine, held.name) * waitPerRun - (isCached ? cachedAdvantage : 0);
            if (makesRoom && shareAfter < limit && cost < bestCost) {
                bestEngine = &engine;
                bestVictim = &state;
                bestCost = cost;
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

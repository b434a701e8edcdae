#include <Cyclamenstair/Entry/OrderDispatcher.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Telemetry/FailureGuard.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair {

namespace {

    /// Time between two planning rounds.
    constexpr Duration tickInterval = milliseconds(100);
    /// Polling interval for an idle target. Each report is billed as a probe; missed reports reveal a lost target.
    constexpr Duration reportInterval = milliseconds(800);
    /// Polling interval for a target that executes an order, or that recently failed a request or a report.
    constexpr Duration busyReportInterval = milliseconds(300);
    /// Largest age of the state that a report shows. A report requested sooner after an order may not reflect the
    /// order.
    constexpr Duration reportLag = milliseconds(400);
    /// Maximum size of a report, which lists the models and adapters of one target.
    constexpr size_t maxReportBytes = size_t { 1 } << 20U;
    constexpr Duration reportTimeout = milliseconds(500);
    /// Consecutive missed reports after which a target counts as lost. A single report can be lost with its connection.
    constexpr uint32_t lostTargetMissedReports = 2;
    /// Maximum age of a report on which an order may be based.
    constexpr Duration reportValidity = milliseconds(4000);
    /// Time for which freed memory stays reserved for a model: covers the longest runs that an unload waits for, plus a
    /// wait for the weight store.
    constexpr Duration reservationTimeout = milliseconds(15000);
    /// Time for which an ordered adapter counts as incoming when no report shows it.
    constexpr Duration adapterTransitTime = milliseconds(60);
    constexpr Duration orderTimeout = milliseconds(700);
    /// Targets register one after the other at startup and after a store outage. Planning waits while many have
    /// registered within this time, so that it does not load models that a target yet to register already holds.
    constexpr Duration arrivalWindow = milliseconds(1500);
    /// Time after which a lease holder that reaches no target leaves the orders to another node, which needs as long
    /// for the takeover as most short cuts last.
    constexpr Duration maxIsolationOfHolder = milliseconds(1000);
    /// Interval at which new targets are looked for; on all nodes, so that it must cost little.
    constexpr Duration arrivalInterval = milliseconds(300);
    /// Share of recently registered targets from which planning waits. A rolling replacement of a service's targets
    /// stays below it.
    constexpr double unsettledArrivalShare = 0.25;
    /// Maximum time that planning waits for targets to register.
    constexpr Duration maxArrivalWait = milliseconds(6000);

    /// Returns how many loads one planning round may start, so that the weight store's rate is used evenly.
    uint32_t maxLoadsPerRound(double loadsPerSecond)
    {
        return std::max(1U, static_cast<uint32_t>(std::ceil(loadsPerSecond * toSeconds(tickInterval))));
    }

    bool holdsAdapter(const EngineReport& report, const std::pair<std::string, std::string>& adapter)
    {
        return std::any_of(report.models.begin(), report.models.end(), [&](const LoadedModel& model) {
            return model.name == adapter.first && model.adapters.contains(adapter.second);
        });
    }

} // namespace

OrderDispatcher::OrderDispatcher(
    boost::asio::io_context& context, OrderLeaseElector& elector, PeerMesh& mesh, EntryState& state)
    : m_timer(context)
    , m_elector(&elector)
    , m_mesh(&mesh)
    , m_state(&state)
    , m_client(context, ClientConnectionSettings {}, { maxReportBytes, &state.controlBuffers })
{
}

void OrderDispatcher::tick()
{
    // Before the work, so that an exception in it does not end the ticks.
    scheduleTick();
    const auto now = monotonicNow();
    updateArrivals(now);
    resignIfIsolated(now);
    if (m_elector->lease().isHeld()) {
        m_records = m_state->targets.records();
        if (!m_loadRateLimiter) {
            m_loadRateLimiter = std::make_unique<LoadRateLimiter>(now);
            m_leaseHeldSince = now;
        }
        requestReports();
        if (m_elector->mayOrder() && haveArrivalsSettled(now))
            planOrders();
    } else if (m_loadRateLimiter) {
        m_loadRateLimiter.reset();
        m_targetStates.clear();
        m_records.clear();
    }
}

void OrderDispatcher::resignIfIsolated(TimePoint now)
{
    if (!m_state->reach.isIsolated()) {
        m_isolatedSince.reset();
        return;
    }
    if (!m_isolatedSince)
        m_isolatedSince = now;
    if (m_elector->lease().isHeld() && now - *m_isolatedSince >= maxIsolationOfHolder
        && m_state->relays.hasReachingPeer())
        m_elector->resign("targets_unreachable");
}

void OrderDispatcher::updateArrivals(TimePoint now)
{
    if (now - m_arrivalsUpdatedAt < arrivalInterval)
        return;
    m_arrivalsUpdatedAt = now;
    std::map<std::string, TimePoint> firstSeenAt;
    for (const auto& id : m_state->targets.ids()) {
        const auto previous = m_firstSeenAt.find(id);
        firstSeenAt[id] = previous == m_firstSeenAt.end() ? now : previous->second;
    }
    m_firstSeenAt = std::move(firstSeenAt);
}

bool OrderDispatcher::haveArrivalsSettled(TimePoint now) const
{
    const auto arrivals = std::count_if(m_firstSeenAt.begin(), m_firstSeenAt.end(),
        [&](const auto& arrival) { return now - arrival.second < arrivalWindow; });
    return static_cast<double>(arrivals) < unsettledArrivalShare * static_cast<double>(m_firstSeenAt.size())
        || now - m_leaseHeldSince >= maxArrivalWait;
}

void OrderDispatcher::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tick();
    });
}

void OrderDispatcher::requestReports()
{
    const auto current = m_state->catalog.current();
    if (!current)
        return;
    const auto now = monotonicNow();
    const auto suspectTargets = m_state->targets.suspectTargets(now);
    for (const auto& record : m_records) {
        const auto service = current->catalog.services.find(record.service);
        if (service == current->catalog.services.end() || !service->second.engine)
            continue;
        auto& state = m_targetStates[record.id];
        const bool needsFrequentReports = state.report.isBusy || state.consecutiveMissedReports > 0
            || suspectTargets.contains(record.id) || state.unloadingAdapter
            || state.reportsValidFrom > state.reportRequestedAt;
        const auto interval = needsFrequentReports ? busyReportInterval : reportInterval;
        if (!state.isReportPending && !state.isOrderPending && now - state.lastReportRequestAt >= interval)
            requestReport(record);
    }
}

void OrderDispatcher::requestReport(const TargetRecord& record)
{
    const auto endpoint = parseEndpoint(record.address);
    if (!endpoint) {
        logError(LogSeverity::Warning, "target_address_malformed", endpoint.error());
        return;
    }
    auto& state = m_targetStates[record.id];
    // The client calls no handler after an exception, so that nothing else would clear the mark.
    const FailureGuard guard([&] { state.isReportPending = false; });
    state.isReportPending = true;
    state.lastReportRequestAt = monotonicNow();
    m_client.call(endpoint.value(), encodeReportRequest(record.address), reportTimeout,
        [this, record, requestedAt = state.lastReportRequestAt](
            const HttpOutcome& outcome) { onReport(record, requestedAt, outcome); });
}

void OrderDispatcher::onReport(const TargetRecord& record, TimePoint requestedAt, const HttpOutcome& outcome)
{
    auto& state = m_targetStates[record.id];
    state.isReportPending = false;
    const auto* response = std::get_if<HttpResponse>(&outcome);
    const auto report = response ? decodeReport(*response)
                                 : Error { ErrorKind::Unavailable, "report.read", record.id, "target did not respond" };
    if (!report) {
        logError(LogSeverity::Warning, "report_missing", report.error());
        state.hasReport = false;
        ++state.consecutiveMissedReports;
        return;
    }
    state.consecutiveMissedReports = 0;
    const auto& newReport = report.value();
    const bool isSameProcess = state.hasReport && newReport.startedUnixMs == state.report.startedUnixMs;
    const bool isOutdated = isSameProcess && newReport.acceptedOrders < state.report.acceptedOrders;
    if (state.isOrderPending || requestedAt < state.reportsValidFrom || isOutdated)
        return;
    state.report = newReport;
    state.reportRequestedAt = requestedAt;
    state.hasReport = true;
    if (!newReport.isBusy) {
        if (state.loadingModel == state.reservedForModel)
            state.reservedForModel.clear();
        state.loadingModel.clear();
        state.unloadingModel.clear();
    }
    if (state.unloadingAdapter && !holdsAdapter(newReport, *state.unloadingAdapter))
        state.unloadingAdapter.reset();
    m_state->targets.setModels(record.service, record.id, remainingModels(state));
    announceModels(record, state);
}

void OrderDispatcher::announceModels(const TargetRecord& record, TargetState& state)
{
    const auto models = remainingModels(state);
    std::set<std::string> names;
    for (const auto& model : models)
        names.insert(model.name);
    if (names == state.announcedModels)
        return;
    // The names are kept only after the announcement, so that an exception in it is followed by another one.
    m_mesh->announce({ record.id, record.service, models });
    state.announcedModels = std::move(names);
}

void OrderDispatcher::planOrders()
{
    const auto current = m_state->catalog.current();
    if (!current)
        return;
    for (const auto& [name, service] : current->catalog.services) {
        if (service.engine)
            planService(service);
    }
}

void OrderDispatcher::planService(const CatalogService& service)
{
    const auto now = monotonicNow();
    auto demand = m_mesh->totalDemand();
    const auto& modelRuns = demand.modelRuns;
    PlannerInput input { service.name, &*service.engine, {}, std::move(demand.demands), 0, 0 };
    uint32_t storeLoadsInProgress = 0;
    for (const auto& record : m_records) {
        const auto entry = m_targetStates.find(record.id);
        if (record.service != service.name || entry == m_targetStates.end())
            continue;
        auto& state = entry->second;
        if (now - state.reservedAt > reservationTimeout)
            state.reservedForModel.clear();
        storeLoadsInProgress += !state.loadingModel.empty() && state.isLoadingFromStore ? 1 : 0;
        // Without a report the planner falls back to the models in the target's store entry.
        PlannerTarget target { record.id, record.phase != TargetPhase::Ready, false,
            state.consecutiveMissedReports < lostTargetMissedReports, state.report, {},
            now < state.adapterIncomingUntil || state.unloadingAdapter, state.unloadingModel, state.loadingModel,
            state.reservedForModel };
        if (const auto runs = modelRuns.find(record.id); runs != modelRuns.end())
            target.inFlightByModel = runs->second;
        if (!state.hasReport)
            target.report.models = record.models;
        target.isOrderable = state.hasReport && !state.isOrderPending && now - state.reportRequestedAt < reportValidity
            && state.reportRequestedAt >= state.reportsValidFrom;
        input.targets.push_back(std::move(target));
    }
    const auto& models = service.engine->models;
    const auto slowestLoadModel = std::max_element(
        models.begin(), models.end(), [](const auto& a, const auto& b) { return a.loadTime < b.loadTime; });
    // Run as many concurrent loads as the rate sustains; more would only slow each other down.
    const auto maxConcurrentLoads = models.empty()
        ? 1U
        : std::max(1U, static_cast<uint32_t>(service.engine->loadsPerSecond * toSeconds(slowestLoadModel->loadTime)));
    const auto loadsPerSecond = service.engine->loadsPerSecond;
    const auto remaining = [&](uint32_t limit, double rate) {
        const auto concurrent = limit - std::min(limit, storeLoadsInProgress);
        return std::min({ concurrent, m_loadRateLimiter->availableLoads(rate, now), maxLoadsPerRound(loadsPerSecond) });
    };
    input.weightLoadBudget = remaining(maxConcurrentLoads, loadsPerSecond);
    // Keep half of the rate for models that requests are waiting for.
    input.spareLoadBudget
        = std::min(input.weightLoadBudget, remaining((maxConcurrentLoads + 1) / 2, loadsPerSecond / 2));
    for (const auto& order : ResidencyPlanner(input, m_plannerSettings).plan()) {
        const auto record = std::find_if(
            m_records.begin(), m_records.end(), [&](const auto& candidate) { return candidate.id == order.target; });
        sendOrder(*record, order, service.engine->loadsPerSecond);
    }
}

void OrderDispatcher::sendOrder(const TargetRecord& record, const TargetOrder& order, double loadsPerSecond)
{
    const auto now = monotonicNow();
    auto& state = m_targetStates[record.id];
    const auto endpoint = parseEndpoint(record.address);
    const bool isModelLoad = order.kind == OrderKind::Load && order.adapter.empty();
    const bool isFromStore = isModelLoad && !state.report.cachedModels.contains(order.model);
    if (!endpoint || (isFromStore && !m_loadRateLimiter->mayLoad(loadsPerSecond, now)))
        return;
    const OrderPreconditions right { m_state->nodeId, m_elector->lease().fencingToken(), state.report.acceptedOrders };
    // Before the marks: after an exception, the target would get neither orders nor requests for reports.
    const auto request = encodeOrderRequest(record.address, order, right);
    if (isFromStore)
        m_loadRateLimiter->recordLoad(now);
    // The client calls no handler after an exception. Whether the target has got the order is unknown then.
    const FailureGuard guard([&] {
        state.isOrderPending = false;
        state.reportsValidFrom = monotonicNow() + reportLag;
    });
    state.isOrderPending = true;
    state.isLoadingFromStore = isFromStore;
    if (order.adapter.empty())
        state.reservedForModel = order.kind == OrderKind::Unload ? order.replacementModel : std::string();
    state.reservedAt = now;
    logEvent(LogSeverity::Info, "order_sent",
        { { "target", order.target }, { "kind", std::string(nameOf(order.kind)) }, { "model", order.model },
            { "adapter", order.adapter }, { "reason", std::string(nameOf(order.reason)) },
            { "demand", std::to_string(static_cast<int64_t>(order.demand)) },
            { "copies", std::to_string(order.copies) }, { "room_for", order.replacementModel },
            { "fence", std::to_string(right.fencingToken) },
            { "expected", std::to_string(right.expectedAcceptedOrders) } });
    // The client checks the lease again right before it writes: the process may have been paused since the last check,
    // or opening the connection may have taken long.
    m_client.call(
        endpoint.value(), request, orderTimeout,
        [this, record, order, now](const HttpOutcome& outcome) { onOrderResponse(record, order, now, outcome); },
        [this] { return m_elector->mayOrder(); });
}

void OrderDispatcher::onOrderResponse(
    const TargetRecord& record, const TargetOrder& order, TimePoint sentAt, const HttpOutcome& outcome)
{
    auto& state = m_targetStates[record.id];
    state.isOrderPending = false;
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (!response) {
        // The target may still execute the order; the next report shows whether it did.
        logEvent(LogSeverity::Warning, "order_unanswered", { { "target", record.id }, { "model", order.model } });
        state.reportsValidFrom = monotonicNow() + reportLag;
        return;
    }
    const auto result = decodeOrderStatus(response->head.status);
    logEvent(LogSeverity::Info, "order_answered",
        { { "target", record.id }, { "model", order.model }, { "adapter", order.adapter },
            { "answer", std::string(nameOf(result)) }, { "status", std::to_string(response->head.status) } });
    m_state->metrics.add(Metric::Moves, std::string(nameOf(result)));
    const bool isAdapterUnload = order.kind == OrderKind::Unload && !order.adapter.empty();
    if (result == OrderAnswer::Accepted || (isAdapterUnload && result == OrderAnswer::AlreadyHolds)) {
        applyAcceptedOrder(state, order, result == OrderAnswer::AlreadyHolds);
        // Nodes must stop routing requests to a model that is being unloaded, because the engine rejects them.
        if (!order.adapter.empty())
            m_mesh->announce({ record.id, record.service, remainingModels(state) });
        else
            announceModels(record, state);
        return;
    }
    // A refused load never started, so it does not count against the weight store's rate.
    if (result != OrderAnswer::Unclear && state.isLoadingFromStore && m_loadRateLimiter)
        m_loadRateLimiter->cancelLoad(sentAt);
    state.reportsValidFrom = monotonicNow() + reportLag;
    state.reservedForModel.clear();
    if (result == OrderAnswer::StaleFencingToken) {
        m_elector->resign("a target rejected the fencing token as outdated");
    }
}

std::vector<LoadedModel> OrderDispatcher::remainingModels(const TargetState& state)
{
    auto models = state.report.models;
    std::erase_if(models, [&](const LoadedModel& model) { return model.name == state.unloadingModel; });
    for (auto& model : models) {
        if (state.unloadingAdapter && state.unloadingAdapter->first == model.name)
            model.adapters.erase(state.unloadingAdapter->second);
    }
    return models;
}

void OrderDispatcher::applyAcceptedOrder(TargetState& state, const TargetOrder& order, bool isDone)
{
    auto& report = state.report;
    ++report.acceptedOrders;
    const auto loadedModel = std::find_if(report.models.begin(), report.models.end(),
        [&](const LoadedModel& model) { return model.name == order.model; });
    if (!order.adapter.empty()) {
        if (loadedModel == report.models.end())
            return;
        if (order.kind == OrderKind::Unload) {
            if (isDone)
                loadedModel->adapters.erase(order.adapter);
            else
                state.unloadingAdapter = { order.model, order.adapter };
            return;
        }
        loadedModel->adapters.insert(order.adapter);
        state.adapterIncomingUntil = monotonicNow() + adapterTransitTime;
        return;
    }
    report.isBusy = true;
    if (order.kind == OrderKind::Load)
        state.loadingModel = order.model;
    else
        state.unloadingModel = order.model;
}

} // namespace cyclamenstair

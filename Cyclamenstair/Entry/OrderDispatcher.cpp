#include <Cyclamenstair/Entry/OrderDispatcher.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair {

namespace {

    /// Time between two rounds of planning.
    constexpr Duration tickInterval = milliseconds(100);
    /// Time between two reports of a target at rest; each is billed as a probe, and a lost target is noticed by them.
    constexpr Duration reportInterval = milliseconds(800);
    /// Time between two reports of a target that carries out an order, or that failed a request or a report lately.
    constexpr Duration busyReportInterval = milliseconds(300);
    /// A report shows the state of up to this long ago, so one that was asked for sooner after an order says nothing of
    /// it.
    constexpr Duration reportLag = milliseconds(400);
    constexpr Duration reportTimeout = milliseconds(500);
    /// A target that missed this many reports in a row is taken for lost. One report can be lost with its connection.
    constexpr uint32_t missedReportsOfLost = 2;
    /// A report older than this is no ground for an order.
    constexpr Duration reportValidity = milliseconds(4000);
    /// Time for which room is kept for a model: the longest runs that an unload waits for, and a wait for the weight
    /// store.
    constexpr Duration reservationLimit = milliseconds(15000);
    /// Time for which an ordered adapter counts as on its way when no report shows it.
    constexpr Duration adapterTransit = milliseconds(60);
    constexpr Duration orderTimeout = milliseconds(700);
    /// Targets register one after the other at the begin and after an outage of the store. Planning waits while many
    /// have come within this time, so that models are not loaded that are about to be seen elsewhere.
    constexpr Duration arrivalPause = milliseconds(1500);
    /// Share of the targets that is many; a service whose targets are replaced in turn stays below it.
    constexpr double manyArrivals = 0.25;
    /// Longest wait for targets to register.
    constexpr Duration maxArrivalWait = milliseconds(6000);

} // namespace

OrderDispatcher::OrderDispatcher(
    boost::asio::io_context& context, OrderHolder& holder, PeerMesh& mesh, EntryState& state)
    : m_timer(context)
    , m_holder(&holder)
    , m_mesh(&mesh)
    , m_state(&state)
    , m_caller(context, ClientConnectionSettings {})
{
}

void OrderDispatcher::tick()
{
    const auto now = monotonicNow();
    m_records = m_state->targets.records();
    noteArrivals(now);
    if (m_holder->lease().isHeld()) {
        if (!m_loads) {
            m_loads = std::make_unique<LoadRateLimiter>(now);
            m_heldSince = now;
        }
        askTargets();
        if (m_holder->mayOrder() && isSettled(now))
            plan();
    } else if (m_loads) {
        m_loads.reset();
        m_known.clear();
    }
    scheduleTick();
}

void OrderDispatcher::noteArrivals(TimePoint now)
{
    std::map<std::string, TimePoint> firstSeen;
    for (const auto& record : m_records) {
        const auto known = m_firstSeen.find(record.id);
        firstSeen[record.id] = known == m_firstSeen.end() ? now : known->second;
    }
    m_firstSeen = std::move(firstSeen);
}

bool OrderDispatcher::isSettled(TimePoint now) const
{
    const auto arrivals = std::count_if(
        m_firstSeen.begin(), m_firstSeen.end(), [&](const auto& seen) { return now - seen.second < arrivalPause; });
    return static_cast<double>(arrivals) < manyArrivals * static_cast<double>(m_firstSeen.size())
        || now - m_heldSince >= maxArrivalWait;
}

void OrderDispatcher::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tick();
    });
}

void OrderDispatcher::askTargets()
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
        auto& known = m_known[record.id];
        const bool isInDoubt = known.report.isBusy || known.missedReports > 0 || suspectTargets.contains(record.id)
            || known.uncertainUntil > known.reportedAt;
        const auto interval = isInDoubt ? busyReportInterval : reportInterval;
        if (!known.isAsking && !known.isOrdering && now - known.askedAt >= interval)
            ask(record);
    }
}

void OrderDispatcher::ask(const TargetRecord& record)
{
    const auto endpoint = parseEndpoint(record.address);
    if (!endpoint) {
        logError(LogSeverity::Warning, "target_address_malformed", endpoint.error());
        return;
    }
    auto& known = m_known[record.id];
    known.isAsking = true;
    known.askedAt = monotonicNow();
    m_caller.call(endpoint.value(), encodeReportCall(record.address), reportTimeout,
        [this, record, askedAt = known.askedAt](const HttpOutcome& outcome) { onReport(record, askedAt, outcome); });
}

void OrderDispatcher::onReport(const TargetRecord& record, TimePoint askedAt, const HttpOutcome& outcome)
{
    auto& known = m_known[record.id];
    known.isAsking = false;
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    const auto report
        = answer ? decodeReport(answer->body) : Error { ErrorKind::Unavailable, "report.read", record.id, "no answer" };
    if (!report) {
        logError(LogSeverity::Warning, "report_missing", report.error());
        known.hasReport = false;
        ++known.missedReports;
        return;
    }
    known.missedReports = 0;
    const auto& fresh = report.value();
    const bool isSameRun = known.hasReport && fresh.startedUnixMs == known.report.startedUnixMs;
    const bool isBehind = isSameRun && fresh.acceptedOrders < known.report.acceptedOrders;
    if (known.isOrdering || askedAt < known.uncertainUntil || isBehind)
        return;
    known.report = fresh;
    known.reportedAt = askedAt;
    known.hasReport = true;
    if (!fresh.isBusy) {
        if (known.loadingModel == known.reservedFor)
            known.reservedFor.clear();
        known.loadingModel.clear();
        known.unloadingModel.clear();
    }
    m_state->targets.setModels(record.service, record.id, modelsThatStay(known));
    announceModels(record, known);
}

void OrderDispatcher::announceModels(const TargetRecord& record, Known& known)
{
    const auto models = modelsThatStay(known);
    std::set<std::string> names;
    for (const auto& model : models)
        names.insert(model.name);
    if (names == known.announcedModels)
        return;
    known.announcedModels = std::move(names);
    m_mesh->announce({ record.id, record.service, models });
}

void OrderDispatcher::plan()
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
    PlannerInput input { service.name, &*service.engine, {}, m_mesh->demand(), 0, 0 };
    const auto modelRuns = m_mesh->modelRuns();
    uint32_t loading = 0;
    for (const auto& record : m_records) {
        const auto known = m_known.find(record.id);
        if (record.service != service.name || known == m_known.end())
            continue;
        auto& state = known->second;
        if (now - state.reservedAt > reservationLimit)
            state.reservedFor.clear();
        loading += !state.loadingModel.empty() && state.isLoadingFromStore ? 1 : 0;
        // Without a report it is unknown what the target holds; its entry still tells which models have a copy.
        PlannerTarget target { record.id, record.phase != TargetPhase::Ready, false,
            state.missedReports < missedReportsOfLost, state.report, {}, now < state.incomingUntil,
            state.unloadingModel, state.loadingModel, state.reservedFor };
        if (const auto runs = modelRuns.find(record.id); runs != modelRuns.end())
            target.inFlightByModel = runs->second;
        if (!state.hasReport)
            target.report.models = record.models;
        target.isOrderable = state.hasReport && !state.isOrdering && now - state.reportedAt < reportValidity
            && state.reportedAt >= state.uncertainUntil;
        input.targets.push_back(std::move(target));
    }
    const auto& models = service.engine->models;
    const auto slowest = std::max_element(
        models.begin(), models.end(), [](const auto& a, const auto& b) { return a.loadTime < b.loadTime; });
    // As many loads run at once as the rate sustains; more would only slow each other down.
    const auto atOnce = models.empty()
        ? 1U
        : std::max(1U, static_cast<uint32_t>(service.engine->loadsPerSecond * toSeconds(slowest->loadTime)));
    if (loading < atOnce && m_loads->mayLoad(service.engine->loadsPerSecond, now))
        input.weightLoadBudget = 1;
    // Half of the rate stays free for models that requests wait for.
    if (input.weightLoadBudget > 0 && loading * 2 < atOnce && m_loads->mayLoad(service.engine->loadsPerSecond / 2, now))
        input.spareLoadBudget = 1;
    for (const auto& order : ResidencyPlanner(input, m_plannerSettings).plan()) {
        const auto record = std::find_if(
            m_records.begin(), m_records.end(), [&](const auto& candidate) { return candidate.id == order.target; });
        send(*record, order, service.engine->loadsPerSecond);
    }
}

void OrderDispatcher::send(const TargetRecord& record, const TargetOrder& order, double loadsPerSecond)
{
    const auto now = monotonicNow();
    auto& known = m_known[record.id];
    const auto endpoint = parseEndpoint(record.address);
    const bool isModelLoad = order.kind == OrderKind::Load && order.adapter.empty();
    const bool isFromStore = isModelLoad && !known.report.cachedModels.contains(order.model);
    if (!endpoint || (isFromStore && !m_loads->mayLoad(loadsPerSecond, now)))
        return;
    if (isFromStore)
        m_loads->recordLoad(now);
    known.isOrdering = true;
    known.isLoadingFromStore = isFromStore;
    if (order.adapter.empty())
        known.reservedFor = order.kind == OrderKind::Unload ? order.replacementModel : std::string();
    known.reservedAt = now;
    const OrderPreconditions right { m_state->nodeId, m_holder->lease().fencingToken(), known.report.acceptedOrders };
    logEvent(LogSeverity::Info, "order_sent",
        { { "target", order.target }, { "kind", std::string(nameOf(order.kind)) }, { "model", order.model },
            { "adapter", order.adapter }, { "reason", std::string(nameOf(order.reason)) },
            { "demand", std::to_string(static_cast<int64_t>(order.demand)) },
            { "copies", std::to_string(order.copies) }, { "room_for", order.replacementModel },
            { "fence", std::to_string(right.fencingToken) },
            { "expected", std::to_string(right.expectedAcceptedOrders) } });
    // The lease is looked at right before the bytes are written: a node that was paused must not send.
    if (!m_holder->mayOrder()) {
        known.isOrdering = false;
        return;
    }
    m_caller.call(endpoint.value(), encodeOrderCall(record.address, order, right), orderTimeout,
        [this, record, order, now](const HttpOutcome& outcome) { onAnswer(record, order, now, outcome); });
}

void OrderDispatcher::onAnswer(
    const TargetRecord& record, const TargetOrder& order, TimePoint sentAt, const HttpOutcome& outcome)
{
    auto& known = m_known[record.id];
    known.isOrdering = false;
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    if (!answer) {
        // It may be carried out at any time; the next report shows whether it has been.
        logEvent(LogSeverity::Warning, "order_unanswered", { { "target", record.id }, { "model", order.model } });
        known.uncertainUntil = monotonicNow() + reportLag;
        return;
    }
    const auto result = decodeOrderAnswer(answer->head.status);
    logEvent(LogSeverity::Info, "order_answered",
        { { "target", record.id }, { "model", order.model }, { "adapter", order.adapter },
            { "answer", std::string(nameOf(result)) }, { "status", std::to_string(answer->head.status) } });
    m_state->metrics.add(Metric::Moves, std::string(nameOf(result)));
    const bool isAdapterUnload = order.kind == OrderKind::Unload && !order.adapter.empty();
    if (result == OrderAnswer::Accepted || (isAdapterUnload && result == OrderAnswer::AlreadyHolds)) {
        noteAccepted(known, order);
        // A model that is being unloaded gets no more requests: the engine would turn them away.
        if (!order.adapter.empty())
            m_mesh->announce({ record.id, record.service, modelsThatStay(known) });
        else
            announceModels(record, known);
        return;
    }
    // A refused load did not begin, so it takes nothing of the weight store's rate.
    if (result != OrderAnswer::Unclear && known.isLoadingFromStore && m_loads)
        m_loads->cancelLoad(sentAt);
    known.uncertainUntil = monotonicNow() + reportLag;
    known.reservedFor.clear();
    if (result == OrderAnswer::StaleFencingToken) {
        m_holder->abandon("a target has seen a newer fencing number");
    }
}

std::vector<LoadedModel> OrderDispatcher::modelsThatStay(const Known& known)
{
    auto models = known.report.models;
    std::erase_if(models, [&](const LoadedModel& model) { return model.name == known.unloadingModel; });
    return models;
}

void OrderDispatcher::noteAccepted(Known& known, const TargetOrder& order)
{
    auto& report = known.report;
    ++report.acceptedOrders;
    const auto held = std::find_if(report.models.begin(), report.models.end(),
        [&](const LoadedModel& model) { return model.name == order.model; });
    if (!order.adapter.empty()) {
        if (held == report.models.end())
            return;
        if (order.kind == OrderKind::Unload) {
            held->adapters.erase(order.adapter);
            return;
        }
        held->adapters.insert(order.adapter);
        known.incomingUntil = monotonicNow() + adapterTransit;
        return;
    }
    report.isBusy = true;
    if (order.kind == OrderKind::Load)
        known.loadingModel = order.model;
    else
        known.unloadingModel = order.model;
}

} // namespace cyclamenstair

#include <Benchmarks/Soak/SoakRun.h>

#include <Benchmarks/Soak/ForeignRecord.h>
#include <Benchmarks/Soak/SoakLogs.h>
#include <Benchmarks/Soak/SoakOrders.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Http/HttpClient.h>

#include <StandIns/LoopbackPort.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <iostream>
#include <sstream>

namespace cyclamenstair {

namespace {

    constexpr auto callTimeout = milliseconds(4500); ///< Beyond the routes' timeout.
    constexpr auto requestInterval = milliseconds(20);
    constexpr size_t engineCount = 2;
    constexpr auto modelDropInterval = milliseconds(400); ///< Between two engines that drop their models.
    constexpr auto copyInterval = milliseconds(4000); ///< Between two copies of the store.
    constexpr auto tickInterval = milliseconds(10);
    constexpr auto rewriteDelay = milliseconds(10); ///< Half of the time within which a reload or start coincides.
    constexpr auto startTimeout = std::chrono::seconds(20);
    constexpr uint32_t ok = 200;
    constexpr std::string_view teamKey = "key-of-team-t";
    constexpr uint64_t vmMemoryBytes = uint64_t { 260 } << 20U; ///< Of a node's VM.
    constexpr size_t maxOtherRecords = 32; ///< Below a prefix, beside those of nodes and targets.

    std::string catalogText(int version, bool hasTeams)
    {
        const std::string service = version % 2 == 1 ? "plain" : "other";
        const auto route = [](const std::string& name, const std::string& kind, const std::string& routeService,
                               const std::string& rest) {
            return R"({"name":")" + name + R"(","host":"h","path_prefix":"/)" + name + R"(/","kind":")" + kind
                + R"(","timeout_ms":3000,"target_latency_ms":600,"service":")" + routeService + "\"," + rest + "}";
        };
        const std::string teams = R"("tenants":[{"name":"t","api_keys":[")" + std::string(teamKey)
            + R"("],"rate_per_s":100000,"burst":100000}],)";
        return R"({"version":)" + std::to_string(version) + "," + (hasTeams ? teams : "") + R"("routes":[)"
            + route("safe", "safe", service, R"("max_attempts":2)") + ","
            + route("once", "non_idempotent", "plain", R"("max_attempts":1)") + ","
            + route("stream", "streaming", "plain", R"("max_attempts":2,"resumable":true,"gap_target_ms":300)")
            + R"(],"services":[{"name":"plain","max_conns":200},{"name":"other","max_conns":200},)"
            + R"({"name":"drafting","max_conns":200,"engine":{"slots":8,"kv_capacity":1000,"weights_mb":230,"adapter_slots":8,)"
            + R"("loads_per_s":50,"models":[{"name":"m1","weights_mb":70,"load_s":0.1},{"name":"m2","weights_mb":70,"load_s":0.1}]}}],)"
            + R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    }

    SoakNodeSettings settingsOf(
        const std::string& id, const std::string& store, const std::string& peerAddress, const std::string& seeds)
    {
        return { { "node", { { "mode", "Registered" }, { "id", id } } },
            { "entry",
                { { "listen", allocateLoopbackAddress() }, { "ready_listen", allocateLoopbackAddress() },
                    { "peer_listen", peerAddress }, { "seeds", seeds },
                    { "relay_listen", allocateLoopbackAddress() } } },
            { "control", { { "store", store } } } };
    }

    std::vector<SoakDaemon> probeDaemons(
        const std::vector<std::string>& programs, const SoakNodeSettings& settings, const std::string& folder)
    {
        std::vector<SoakDaemon> daemons;
        for (const auto& program : programs) {
            daemons.push_back(probeDaemon(program, settings, folder));
            std::cout << "daemon " << daemons.size() - 1 << ": " << program;
            for (const auto& key : daemons.back().unknownKeys)
                std::cout << ", without the setting " << key;
            std::cout << std::endl;
        }
        return daemons;
    }

} // namespace

SoakRun::SoakRun(const SoakSettings& settings, const std::string& folder)
    : m_settings(settings)
    , m_folder(folder)
{
    for (size_t i = 0; i < 2 * targetsPerService; ++i)
        m_targets.push_back(std::make_unique<RegisteredTargetStandIn>(
            "i-" + std::to_string(i), i < targetsPerService ? "plain" : "other"));
    for (size_t i = 0; i < engineCount; ++i)
        m_engines.push_back(std::make_unique<RegisteredTargetStandIn>("i-engine-" + std::to_string(i), "drafting"));
    for (size_t i = 1; settings.hasVersions && i < m_targets.size(); i += 2)
        m_targets[i]->setSoftwareVersion("v2");
    const auto seed = allocateLoopbackAddress();
    m_links.resize(settings.nodes);
    m_cutAt.resize(settings.nodes);
    SoakStarts starts;
    starts.seed = settings.seed;
    starts.limits.maxResidentBytes = vmMemoryBytes;
    starts.hasEarlySignals = settings.plays(SoakFaultKind::EarlySignals);
    starts.hasUnreadOutput = settings.plays(SoakFaultKind::UnreadOutput);
    for (size_t i = 0; i < settings.nodes; ++i) {
        std::map<std::string, std::string> view;
        for (const auto* targets : { &m_targets, &m_engines }) {
            for (const auto& target : *targets) {
                m_links[i].push_back(std::make_unique<LinkStandIn>(target->address()));
                view[target->address()] = m_links[i].back()->address();
            }
        }
        const auto id = "node-" + std::to_string(i);
        const auto nodeSettings
            = settingsOf(id, m_store.addView(std::move(view)), i == 0 ? seed : allocateLoopbackAddress(), seed);
        if (i == 0)
            starts.daemons = probeDaemons(settings.daemons, nodeSettings, folder);
        m_nodes.push_back(std::make_unique<SoakNode>(id, folder, nodeSettings, starts, m_timer));
    }
    if (!settings.plays(SoakFaultKind::FillStore))
        return;
    std::vector<std::string> ids;
    for (const auto& node : m_nodes)
        ids.push_back(node->id());
    m_filler = std::make_unique<StoreFiller>(
        m_store, [this] { return targetEntries(); }, ids, maxOwnRecords(), settings.seed);
}

SoakRun::~SoakRun() { m_timer.stop(); }

void SoakRun::run()
{
    writeCatalog();
    writeTargets();
    m_store.keepCopy();
    for (const auto& node : m_nodes)
        node->start();
    if (waitUntilServing()) {
        runTraffic();
    } else {
        report(SoakRule::NoAnswer, "the nodes do not serve after their start");
        stopNodes();
    }
    // Records of another writer are rejected as they should be.
    const std::string exceptText(m_filler ? foreignMark : std::string_view {});
    for (const auto& description : findRejectedInput(m_folder, exceptText))
        report(SoakRule::RejectedInput, description);
    std::cout << "closest to the bound: " << m_readBound.closest() << "\n";
}

void SoakRun::runTraffic()
{
    const auto start = monotonicNow();
    std::vector<std::thread> callers;
    for (size_t caller = 0; caller < m_settings.callers; ++caller)
        callers.emplace_back([this, caller] { sendRequests(caller); });
    const auto wait = [this](TimePoint until) {
        while (monotonicNow() < until) {
            tick();
            std::this_thread::sleep_for(tickInterval);
        }
    };
    for (const auto& fault : drawSoakFaults(m_settings, m_targets.size())) {
        wait(start + fault.at);
        inject(fault);
    }
    wait(start + m_settings.duration + settleTime);
    if (!waitUntilServing())
        report(SoakRule::NotServing, "after the last fault");
    stopNodes();
    m_isOver = true;
    for (auto& caller : callers)
        caller.join();
    for (const auto& description : findOrderConflicts(m_engines))
        report(SoakRule::TwoHolders, description);
    checkFirstTries();
}

void SoakRun::stopNodes()
{
    constexpr double maxLateDelayMs = 4000;
    Random random(m_settings.seed);
    for (const auto& node : m_nodes) {
        node->stop();
        if (!m_settings.plays(SoakFaultKind::SignalBurst))
            continue;
        for (const int number : { SIGHUP, SIGTERM, SIGHUP })
            m_timer.schedule(monotonicNow() + milliseconds(static_cast<int64_t>(maxLateDelayMs * randomUnit(random))),
                [node = node.get(), number] { node->signalStopping(number); });
    }
    // Ends, as a process that is overdue is killed.
    while (!std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto& node) { return node->hasStopped(); })) {
        tick();
        std::this_thread::sleep_for(tickInterval);
    }
}

std::map<SoakRule, std::vector<std::string>> SoakRun::findings()
{
    std::lock_guard lock(m_mutex);
    return m_findings;
}

uint64_t SoakRun::maxResidentBytes()
{
    uint64_t bytes = 0;
    for (const auto& node : m_nodes)
        bytes = std::max(bytes, node->maxResidentBytes());
    return bytes;
}

std::map<uint32_t, size_t> SoakRun::requestCounts()
{
    std::lock_guard lock(m_mutex);
    return m_requestCounts;
}

void SoakRun::writeCatalog()
{
    m_store.put("op/config", catalogText(m_catalogVersion + 1, m_settings.hasTeams));
    m_catalogChangedAt = monotonicNow();
    ++m_catalogVersion;
}

void SoakRun::writeTargets()
{
    for (const auto& [id, entry] : targetEntries())
        m_store.put("servers/" + id, entry);
}

void SoakRun::returnStoreFromCopy()
{
    m_store.returnFromCopy();
    if (m_filler)
        m_filler->returnFromCopy();
    // The operator and the targets write again what the store has lost.
    m_store.put("op/config", catalogText(m_catalogVersion, m_settings.hasTeams));
    writeTargets();
}

size_t SoakRun::orderCount()
{
    size_t count = 0;
    for (const auto& engine : m_engines)
        count += engine->orders().size();
    return count;
}

void SoakRun::setLinks(size_t node, LinkMode mode)
{
    for (const auto& link : m_links[node])
        link->setMode(mode);
}

void SoakRun::cutTargets(const SoakFault& fault)
{
    const auto now = monotonicNow();
    for (size_t i = 0; i < fault.cutNodes; ++i) {
        const size_t node = (fault.subject + i) % m_nodes.size();
        {
            std::lock_guard lock(m_mutex);
            const auto linked = static_cast<size_t>(std::count(m_cutAt.begin(), m_cutAt.end(), std::nullopt));
            // One node keeps its links, so that first tries can be served.
            if (m_cutAt[node] || linked == 1)
                continue;
            m_cutAt[node] = now;
        }
        m_nodes[node]->markDisturbed();
        setLinks(node, fault.linkMode);
        m_endings.emplace_back(now + fault.duration, [this, node] {
            setLinks(node, LinkMode::Pass);
            m_nodes[node]->markDisturbed();
            std::lock_guard lock(m_mutex);
            m_cutAt[node].reset();
        });
    }
}

void SoakRun::inject(const SoakFault& fault)
{
    std::cout << "fault " << nameOf(fault.kind) << " " << fault.subject << " at " << toMilliseconds(fault.at) << " ms";
    if (fault.kind == SoakFaultKind::CutTargets)
        std::cout << ", " << fault.cutNodes << " nodes, " << nameOf(fault.linkMode) << " for "
                  << toMilliseconds(fault.duration) << " ms";
    std::cout << std::endl;
    const auto endsAt = monotonicNow() + fault.duration;
    const auto disturbTarget = [&](TargetBehaviour behaviour) {
        auto* target = m_targets[fault.subject].get();
        target->setBehaviour(behaviour);
        m_targetDisturbedAt = endsAt;
        m_endings.emplace_back(endsAt, [target] { target->setBehaviour(TargetBehaviour::Respond); });
    };
    switch (fault.kind) {
    case SoakFaultKind::Reload:
        m_nodes[fault.subject]->signal(SIGHUP);
        break;
    case SoakFaultKind::Terminate:
        m_nodes[fault.subject]->signal(SIGTERM);
        break;
    case SoakFaultKind::Kill:
        m_nodes[fault.subject]->signal(SIGKILL);
        break;
    case SoakFaultKind::Replace:
        m_nodes[fault.subject]->replace();
        break;
    case SoakFaultKind::KillAll:
        for (const auto& node : m_nodes)
            node->signal(SIGKILL);
        break;
    case SoakFaultKind::Freeze: {
        auto* node = m_nodes[fault.subject].get();
        node->signal(SIGSTOP);
        m_endings.emplace_back(endsAt, [this, node] {
            node->signal(SIGCONT);
            ++m_storeDisturbances;
        });
        break;
    }
    case SoakFaultKind::ChangeCatalog:
        writeCatalog();
        break;
    case SoakFaultKind::TruncateAnswers:
        disturbTarget(TargetBehaviour::TruncateResponse);
        break;
    case SoakFaultKind::RefuseRequests:
        disturbTarget(TargetBehaviour::RefuseUnrun);
        break;
    case SoakFaultKind::SilentTarget:
        disturbTarget(TargetBehaviour::NoResponse);
        break;
    case SoakFaultKind::CutTargets:
        cutTargets(fault);
        break;
    case SoakFaultKind::SignalBurst:
    case SoakFaultKind::RewriteSettings:
    case SoakFaultKind::OverwriteSettings:
        scheduleStress(fault);
        break;
    case SoakFaultKind::EarlySignals: // Concern starts, see SoakNode.
    case SoakFaultKind::UnreadOutput:
    case SoakFaultKind::FillStore: // See StoreFiller.
        break;
    case SoakFaultKind::StoreDown:
    case SoakFaultKind::StoreReturn: {
        const bool returns = fault.kind == SoakFaultKind::StoreReturn;
        const auto end = returns ? monotonicNow() + fault.duration / 4 : endsAt;
        m_store.setDown(true);
        ++m_storeFaults;
        ++m_storeDisturbances;
        m_storeDisturbedAt = std::max(m_storeDisturbedAt.load(), end);
        m_endings.emplace_back(end, [this, returns] {
            ++m_storeDisturbances;
            if (returns)
                returnStoreFromCopy();
            if (--m_storeFaults == 0)
                m_store.setDown(false);
        });
        break;
    }
    }
}

void SoakRun::scheduleStress(const SoakFault& fault)
{
    const auto now = monotonicNow();
    auto* node = m_nodes[fault.subject].get();
    for (const auto& signal : fault.signals) {
        m_timer.schedule(now + signal.delay, [node, signal] {
            if (signal.isForStopping)
                node->signalStopping(signal.number);
            else
                node->signal(signal.number);
        });
    }
    if (fault.replaceDelay)
        m_timer.schedule(now + *fault.replaceDelay, [node] { node->replace(); });
    const bool isInPlace = fault.kind == SoakFaultKind::OverwriteSettings;
    if (isInPlace || fault.kind == SoakFaultKind::RewriteSettings)
        m_timer.schedule(
            now + rewriteDelay, [node, isInPlace, pause = fault.pause] { node->rewriteSettings(isInPlace, pause); });
}

void SoakRun::tick()
{
    const auto now = monotonicNow();
    if (now - m_modelsDroppedAt >= modelDropInterval) {
        m_modelsDroppedAt = now;
        m_engines.front()->dropModels();
        std::rotate(m_engines.begin(), m_engines.begin() + 1, m_engines.end());
    }
    if (now - m_copyKeptAt >= copyInterval && m_storeFaults == 0) {
        m_copyKeptAt = now;
        m_store.keepCopy();
        if (m_filler)
            m_filler->keepCopy();
    }
    for (auto ending = m_endings.begin(); ending != m_endings.end();) {
        if (ending->first > now) {
            ++ending;
            continue;
        }
        ending->second();
        ending = m_endings.erase(ending);
    }
    if (m_filler)
        m_filler->tick(m_storeFaults == 0);
    for (const auto& node : m_nodes) {
        for (const auto& end : node->restartIfEnded())
            checkEnd(*node, end);
    }
    checkLoad();
}

void SoakRun::checkLoad()
{
    StoreReadSample sample {
        .calls = m_store.rangeCallCount(), .nodes = m_nodes.size(), .disturbances = m_storeDisturbances
    };
    for (const auto& node : m_nodes) {
        for (const auto& excess : node->takeMemoryExcesses())
            report(SoakRule::OverMemory, excess);
        sample.starts += node->startCount();
    }
    if (m_filler) {
        sample.disturbances += m_filler->disturbanceCount();
        sample.pages = m_filler->takePageCount();
    } else {
        sample.pages = readPrefixCount;
    }
    const auto excess = m_readBound.observe(monotonicNow(), sample);
    // The pages below origins/, which nodes write if there are two versions, are not counted.
    if (excess && !m_settings.hasVersions)
        report(SoakRule::ExcessiveReads, *excess);
}

std::vector<std::pair<std::string, std::string>> SoakRun::targetEntries()
{
    std::vector<std::pair<std::string, std::string>> entries;
    for (const auto* targets : { &m_targets, &m_engines }) {
        for (const auto& target : *targets)
            entries.emplace_back(target->id(), target->entry());
    }
    return entries;
}

size_t SoakRun::maxOwnRecords() const { return m_targets.size() + m_engines.size() + m_nodes.size() + maxOtherRecords; }

void SoakRun::sendRequests(size_t caller)
{
    EventLoop loop;
    HttpClient client(loop.context(), ClientConnectionSettings {});
    loop.start();
    Random random(m_settings.seed * 1000 + caller);
    const std::vector<std::string> paths { "/safe/", "/once/", "/stream/" };
    for (int number = 0; !m_isOver; ++number) {
        const size_t nodeIndex = randomIndex(random, m_nodes.size());
        const auto& node = *m_nodes[nodeIndex];
        const auto& path = paths[randomIndex(random, paths.size())];
        const auto id = "r-" + std::to_string(caller) + "-" + std::to_string(number);
        HttpRequest request { "POST", path + "x",
            { { "Host", "h" }, { "Cyclamenstair-Request-Id", id }, { "Cyclamenstair-Deadline-Ms", "3000" } },
            requestBody(id), true };
        if (m_settings.hasTeams)
            request.fields.push_back({ "Authorization", "Bearer " + std::string(teamKey) });
        std::promise<HttpOutcome> promise;
        const auto sentAt = monotonicNow();
        auto* const firstTries = selectFirstTries(nodeIndex, sentAt);
        loop.post([&] {
            client.call(parseEndpoint(node.callerAddress()).value(), request, callTimeout,
                [&](HttpOutcome outcome) { promise.set_value(std::move(outcome)); });
        });
        const auto outcome = promise.get_future().get();
        const auto* response = std::get_if<HttpResponse>(&outcome);
        const auto* failure = std::get_if<CallFailed>(&outcome);
        if (firstTries)
            countFirstTry(*firstTries, nodeIndex, sentAt, response && response->head.status == ok);
        // A request that crosses the close of a kept connection may be sent again.
        if (!failure || failure->wasSent)
            check(nodeIndex, path, id, sentAt, response ? response->head.status : 0, response ? response->body : "");
        std::this_thread::sleep_for(requestInterval);
    }
    loop.stop();
}

bool SoakRun::waitUntilServing()
{
    EventLoop loop;
    HttpClient client(loop.context(), ClientConnectionSettings {});
    loop.start();
    const auto isReady = [&](const SoakNode& node) {
        std::promise<bool> promise;
        loop.post([&] {
            client.call(parseEndpoint(node.probeAddress()).value(),
                { "GET", "/cyclamenstair/readiness", { { "Host", "h" } }, {}, false }, milliseconds(500),
                [&](const HttpOutcome& outcome) {
                    const auto* response = std::get_if<HttpResponse>(&outcome);
                    promise.set_value(response && response->head.status == ok);
                });
        });
        return promise.get_future().get();
    };
    const auto end = monotonicNow() + startTimeout;
    bool areReady = false;
    while (!areReady && monotonicNow() < end) {
        tick();
        areReady = std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& node) { return isReady(*node); });
        std::this_thread::sleep_for(milliseconds(50));
    }
    loop.stop();
    return areReady;
}

} // namespace cyclamenstair

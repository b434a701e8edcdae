#include <Benchmarks/Soak/DayRun.h>

#include <Benchmarks/Soak/DayChecks.h>
#include <Benchmarks/Soak/ForeignRecord.h>
#include <Benchmarks/Soak/SoakLogs.h>
#include <Benchmarks/Soak/SoakObserver.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

namespace cyclamenstair {

namespace {

    constexpr auto tickInterval = milliseconds(5);
    constexpr auto maxTickPause = milliseconds(1000); ///< Longer ones delay events and are printed.
    constexpr auto probeInterval = milliseconds(1000);
    constexpr auto probeTimeout = milliseconds(500);
    constexpr int maxMissedProbes = 2; ///< After which a node gets no new connections.
    constexpr auto maxReadinessTime = milliseconds(10000);
    /// After the store is back. A node's call ends within 1 s, its next one follows within 0.8 s and is answered within
    /// 1 s (StoreWatcherSettings, PlatformStoreSettings). The users' rules expect a calm node to be up to date 3 s
    /// after an outage. One probe later this is seen.
    constexpr auto maxRegainTime = milliseconds(4000);
    constexpr auto recoveryLength = std::chrono::seconds(16); ///< Of the traffic after the closing fault.
    constexpr auto drainLength = std::chrono::seconds(3); ///< For requests that run when the traffic ends.
    constexpr auto nodeSettleTime = milliseconds(10000); ///< Of a node after its process has ended.
    constexpr uint32_t ok = 200;
    constexpr auto idleWindow = milliseconds(2000); ///< Before and after the traffic, in which nodes have no requests.
    /// Before that window, in which another writer changes nothing: reading what it has written is no idling.
    constexpr auto quietTime = milliseconds(2000);
    constexpr double maxIdleShare = 0.25; ///< Of a node's processor share.
    constexpr auto stressInterval = milliseconds(700);
    constexpr size_t maxStressSignals = 6; ///< In a series.
    constexpr size_t maxStressDelayMs = 60; ///< Of the signals of a series.
    constexpr auto rewritePause = milliseconds(5); ///< Between the halves of settings that are written in place.
    constexpr uint64_t bytesPerMb = uint64_t { 1 } << 20U;

} // namespace

DayRun::DayRun(const DaySettings& settings, std::string folder)
    : m_settings(settings)
    , m_folder(std::move(folder))
    , m_deployment(m_settings, m_folder)
    , m_events(m_deployment)
    , m_probes(m_probeLoop.context(), ClientConnectionSettings {})
{
    m_probeLoop.start();
}

DayRun::~DayRun() { m_probeLoop.stop(); }

void DayRun::run()
{
    m_deployment.writeCatalog();
    const auto trafficAt = monotonicNow() + m_settings.site.leadTime;
    m_events.scheduleBeforeTraffic(trafficAt);
    // Events at the start of the lead time come before the nodes.
    runDueActions();
    // What another writer writes at once is there before the nodes start, which read it before the first window.
    tickStoreWriters();
    m_deployment.nodes.startAll();
    playUntil(trafficAt - idleWindow - quietTime);
    setWriterQuiet(true);
    playUntil(trafficAt - idleWindow);
    checkIdleProcessor(trafficAt, "before the traffic");
    setWriterQuiet(false);
    const auto start = monotonicNow();
    std::cout << "traffic starts" << std::endl;
    m_deployment.callers.start();
    m_events.scheduleTraffic();
    scheduleStress();
    playUntil(start + m_settings.length);
    if (m_settings.day.closingFault) {
        playClosingFault();
        playUntil(*m_closingFaultAt + recoveryLength);
    }
    const auto end = monotonicNow();
    m_deployment.callers.end();
    setWriterQuiet(true);
    playUntil(end + drainLength);
    checkIdleProcessor(monotonicNow() + idleWindow, "after the traffic");
    setWriterQuiet(false);
    stopNodes();
    m_deployment.callers.stop();
    checkTries(m_deployment);
    checkService(m_deployment, start, end);
    if (m_closingFaultAt)
        checkRecovery(m_deployment, *m_closingFaultAt, end);
    checkOrders(m_deployment);
    // Entries of another writer are rejected as they should be.
    for (const auto& description : findRejectedInput(m_folder, std::string(foreignMark)))
        m_deployment.report(SoakRule::RejectedInput, description);
    std::cout << "closest to the bound: " << m_readBound.closest() << "\n";
}

void DayRun::tickStoreWriters()
{
    m_deployment.targets.tick(m_deployment.storeOutages == 0, m_deployment.leasesLapse);
    if (m_deployment.filler)
        m_deployment.filler->tick(m_deployment.storeOutages == 0);
}

void DayRun::setWriterQuiet(bool isQuiet)
{
    if (m_deployment.filler)
        m_deployment.filler->setQuiet(isQuiet);
}

void DayRun::checkIdleProcessor(TimePoint end, const std::string& window)
{
    std::vector<SoakNode*> processes;
    std::map<std::string, double> maxShares;
    for (const auto index : m_deployment.nodes.active()) {
        const auto& node = m_deployment.nodes.node(index);
        processes.push_back(node.process.get());
        maxShares[node.process->id()] = maxIdleShare * node.cpuShare;
    }
    const SoakProcessorWindow processorWindow(processes);
    playUntil(end);
    double maxShare = 0;
    for (const auto& use : processorWindow.uses()) {
        maxShare = std::max(maxShare, use.share);
        if (use.share > maxShares[use.node])
            m_deployment.report(SoakRule::IdleProcessor,
                use.node + ", process " + std::to_string(use.process) + ", " + std::to_string(use.share) + " of a core "
                    + window);
    }
    std::cout << "largest processor time " << window << ": " << maxShare << " of a core" << std::endl;
}

void DayRun::scheduleStress()
{
    if (!m_settings.isStressed)
        return;
    auto& random = m_deployment.random;
    const auto active = m_deployment.nodes.active();
    if (active.empty())
        return;
    auto& node = *m_deployment.nodes.node(active[randomIndex(random, active.size())]).process;
    const size_t count = 1 + randomIndex(random, maxStressSignals);
    for (size_t i = 0; i < count; ++i) {
        const auto delay = milliseconds(static_cast<int64_t>(randomIndex(random, maxStressDelayMs)));
        m_deployment.schedule(delay, [&node] { node.signal(SIGHUP); });
    }
    const bool isInPlace = randomIndex(random, 2) == 0;
    m_deployment.schedule(milliseconds(static_cast<int64_t>(randomIndex(random, maxStressDelayMs))),
        [&node, isInPlace] { node.rewriteSettings(isInPlace, rewritePause); });
    m_deployment.schedule(stressInterval, [this] { scheduleStress(); });
}

void DayRun::playUntil(TimePoint end)
{
    while (monotonicNow() < end) {
        tick();
        std::this_thread::sleep_for(tickInterval);
    }
}

void DayRun::runDueActions()
{
    auto& actions = m_deployment.actions;
    while (!actions.empty() && actions.begin()->first <= monotonicNow()) {
        const auto action = std::move(actions.begin()->second);
        actions.erase(actions.begin());
        action();
    }
}

void DayRun::tick()
{
    const auto now = monotonicNow();
    if (const auto pause = now - std::exchange(m_tickedAt, now); pause > maxTickPause)
        std::cout << "player held up for " << toMilliseconds(pause) << " ms" << std::endl;
    runDueActions();
    tickStoreWriters();
    m_deployment.nodes.tick([this](size_t node, const SoakEnd& end) { onEnd(node, end); });
    for (const auto index : m_deployment.nodes.active()) {
        for (const auto& excess : m_deployment.nodes.node(index).process->takeMemoryExcesses())
            m_deployment.report(SoakRule::OverMemory, nodeName(index) + ": " + excess);
    }
    checkReads();
    probe();
}

void DayRun::checkReads()
{
    const auto now = monotonicNow();
    auto& nodes = m_deployment.nodes;
    StoreReadSample sample { .calls = m_deployment.store.rangeCallCount(),
        .pages = readPrefixCount,
        .nodes = nodes.active().size(),
        .disturbances = m_deployment.compactions };
    for (size_t i = 0; i < nodes.count(); ++i)
        sample.starts += nodes.node(i).process->startCount();
    for (const auto& disturbance : m_deployment.disturbances)
        sample.disturbances += disturbance.end <= now ? 2 : 1;
    if (m_deployment.filler) {
        sample.disturbances += m_deployment.filler->disturbanceCount();
        sample.pages = m_deployment.filler->takePageCount();
    }
    const auto excess = m_readBound.observe(now, sample);
    // The pages below origins/, which nodes write while a release gives targets two versions, are not counted.
    const auto& events = m_settings.day.events;
    const bool hasVersions = std::any_of(
        events.begin(), events.end(), [](const auto& event) { return event.kind == SiteEventKind::Release; });
    if (excess && !hasVersions)
        m_deployment.report(SoakRule::ExcessiveReads, *excess);
}

void DayRun::probe()
{
    const auto now = monotonicNow();
    std::vector<std::pair<size_t, bool>> results;
    {
        std::lock_guard lock(m_probeMutex);
        results.swap(m_probeResults);
    }
    for (const auto& [index, isReady] : results)
        onProbe(index, isReady);
    if (now - m_probedAt < probeInterval)
        return;
    m_probedAt = now;
    for (const auto index : m_deployment.nodes.active()) {
        m_probeLoop.post([this, index, endpoint = m_deployment.nodes.node(index).probeEndpoint] {
            m_probes.call(endpoint, { "GET", "/cyclamenstair/readiness", { { "Host", "h" } }, {}, false }, probeTimeout,
                [this, index](const HttpOutcome& outcome) {
                    const auto* response = std::get_if<HttpResponse>(&outcome);
                    std::lock_guard lock(m_probeMutex);
                    m_probeResults.emplace_back(index, response && response->head.status == ok);
                });
        });
    }
}

void DayRun::onProbe(size_t index, bool isReady)
{
    auto& node = m_deployment.nodes.node(index);
    const auto now = monotonicNow();
    if (isReady) {
        node.missedProbes = 0;
        if (!node.readyAt && !node.downUntil) {
            node.readyAt = now;
            std::cout << "ready " << nodeName(index) << " within " << toMilliseconds(now - node.startedAt) << " ms"
                      << std::endl;
        }
        node.isInRotation = !node.isRetired;
        return;
    }
    if (++node.missedProbes >= maxMissedProbes)
        node.isInRotation = false;
    if (!isLate(index) || std::exchange(node.isReportedUnready, true))
        return;
    std::string description
        = nodeName(index) + ", " + std::to_string(toMilliseconds(now - node.startedAt)) + " ms after its start";
    if (node.storeBackAt && *node.storeBackAt > node.startedAt)
        description += ", " + std::to_string(toMilliseconds(now - *node.storeBackAt)) + " ms after the store was back";
    m_deployment.report(SoakRule::NotReady, description);
}

bool DayRun::isLate(size_t index) const
{
    const auto& node = m_deployment.nodes.node(index);
    const auto now = monotonicNow();
    if (node.readyAt || node.downUntil || node.isRetired)
        return false;
    auto calmSince = node.startedAt;
    for (const auto& other : m_deployment.disturbances) {
        const bool concernsProcess = (!other.node || *other.node == index) && !other.endsProcess && other.begin < now
            && other.end > node.startedAt && other.begin + probeInterval > node.startedAt;
        if (concernsProcess)
            calmSince = std::max(calmSince, std::min(other.end, now));
    }
    const bool wasAway = node.storeBackAt && *node.storeBackAt > node.startedAt + probeInterval;
    if (node.storeOutages > 0 || wasAway) {
        if (m_deployment.nodes.hasReadySeed(index) && node.startedAt + maxReadinessTime < now)
            return true;
        if (node.storeOutages > 0)
            return false;
        if (calmSince <= *node.storeBackAt)
            return *node.storeBackAt + maxRegainTime < now;
    }
    return calmSince + maxReadinessTime < now;
}

void DayRun::onEnd(size_t node, const SoakEnd& end)
{
    ++m_endCounts[end.verdict];
    m_deployment.disturbByEnd(node, nodeSettleTime);
    const auto description = nodeName(node) + ": " + end.description + "; " + lastLogLine(node);
    if (end.verdict == SoakVerdict::ByItself)
        m_deployment.report(SoakRule::EndedByItself, description);
    else if (end.verdict == SoakVerdict::WrongEnd)
        m_deployment.report(SoakRule::WrongEnd, description);
    else
        std::cout << "end " << nameOf(end.verdict) << ", " << nodeName(node) << ": " << end.description << std::endl;
}

std::string DayRun::lastLogLine(size_t index)
{
    std::ifstream file(m_folder + "/" + nodeName(index) + ".log");
    std::string last;
    for (std::string line; std::getline(file, line);)
        last = line;
    return last;
}

void DayRun::playClosingFault()
{
    const auto& fault = *m_settings.day.closingFault;
    std::cout << "closing fault" << (fault.isPowerLoss ? ", power loss" : "") << std::endl;
    m_closingFaultAt = monotonicNow();
    for (const auto index : m_deployment.nodes.active()) {
        m_deployment.disturbByEnd(index, fault.downTime + nodeSettleTime);
        if (fault.isPowerLoss)
            m_deployment.nodes.cutPower(index, fault.downTime);
        else
            m_deployment.nodes.kill(index, fault.downTime);
    }
}

void DayRun::stopNodes()
{
    auto& nodes = m_deployment.nodes;
    const auto active = nodes.active();
    for (const auto index : active)
        nodes.retire(index);
    // Ends, as a process that is overdue is killed.
    while (!std::all_of(
        active.begin(), active.end(), [&](size_t index) { return nodes.node(index).process->hasStopped(); })) {
        tick();
        std::this_thread::sleep_for(tickInterval);
    }
}

size_t DayRun::printReport()
{
    std::map<std::string, std::map<std::string, size_t>> counts;
    for (const auto& attempt : m_deployment.callers.tries()) {
        auto& row = counts[m_settings.site.requestKinds[attempt.kind].name];
        ++row[attempt.isServed ? "served" : attempt.isAbandoned ? "abandoned" : std::to_string(attempt.status)];
    }
    for (const auto& [kind, row] : counts) {
        std::cout << "tries of " << kind << ":";
        for (const auto& [result, count] : row)
            std::cout << " " << result << ": " << count;
        std::cout << "\n";
    }
    size_t orders = 0;
    for (size_t i = 0; i < m_deployment.targets.count(); ++i)
        orders += m_deployment.targets.target(i).orders().size();
    std::cout << "orders: " << orders << "\nends of processes:";
    for (const auto& [verdict, count] : m_endCounts)
        std::cout << " " << nameOf(verdict) << ": " << count;
    std::cout << "\nlargest resident memory:";
    for (size_t i = 0; i < m_deployment.nodes.count(); ++i)
        std::cout << " " << m_deployment.nodes.node(i).process->maxResidentBytes() / bytesPerMb << " MiB";
    std::cout << "\n";
    size_t findings = 0;
    for (const auto& [rule, descriptions] : m_deployment.findings) {
        std::cout << "broken: " << nameOf(rule) << " " << descriptions.size() << "\n";
        findings += descriptions.size();
    }
    return findings;
}

} // namespace cyclamenstair

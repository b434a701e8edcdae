#include <Benchmarks/Soak/DayEvents.h>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace cyclamenstair {

namespace {

    constexpr double defaultShare = 0.3;
    constexpr double defaultStrength = 0.05;
    constexpr double defaultClockStep = 2400; ///< In seconds.
    constexpr auto readinessTime = std::chrono::seconds(10); ///< Of a process that was started.
    constexpr auto handoverTime = std::chrono::seconds(3); ///< Between a replacement's start and its predecessor's end.
    constexpr auto slowPeriod = milliseconds(100);
    constexpr size_t defaultRouteCount = 200;

    LinkMode linkModeOf(const SiteEvent& event)
    {
        if (hasVariant(event, "reset"))
            return LinkMode::Reset;
        return hasVariant(event, "refuse") ? LinkMode::Refuse : LinkMode::Hang;
    }

} // namespace

bool hasVariant(const SiteEvent& event, std::string_view word)
{
    return std::find(event.variants.begin(), event.variants.end(), word) != event.variants.end();
}

DayEvents::DayEvents(DayDeployment& deployment)
    : m_deployment(&deployment)
    , m_storeCuts(deployment.nodes.count())
    , m_targetCuts(deployment.nodes.count())
    , m_refusals(deployment.nodes.count())
{
}

void DayEvents::scheduleBeforeTraffic(TimePoint trafficAt)
{
    for (const auto& event : m_deployment->settings->day.events) {
        if (event.at < Duration::zero())
            m_deployment->schedule(trafficAt + event.at - monotonicNow(), [this, &event] { play(event); });
    }
}

void DayEvents::scheduleTraffic()
{
    for (const auto& event : m_deployment->settings->day.events) {
        if (event.at >= Duration::zero() && event.at <= m_deployment->settings->length)
            m_deployment->schedule(event.at, [this, &event] { play(event); });
    }
}

void DayEvents::play(const SiteEvent& event)
{
    std::cout << "event " << nameOf(event.kind) << " at " << toMilliseconds(event.at) << " ms";
    for (const auto& word : event.variants)
        std::cout << " " << word;
    if (!m_deployment->settings->plays(event.kind)) {
        std::cout << ", left out" << std::endl;
        return;
    }
    const bool isPlayed = playOnCallers(event) || playOnTargets(event) || playOnNodes(event) || playOnLinks(event)
        || playOnStore(event) || playOnCatalog(event);
    std::cout << (isPlayed ? "" : ", not played") << std::endl;
}

void DayEvents::rollNodes(const SiteEvent& event)
{
    Duration delay {};
    for (const auto index : drawNodes(event, 1)) {
        // The platform starts the new process at the end of the old one, or beside it.
        const bool isBeside = randomIndex(m_deployment->random, 2) == 0;
        m_deployment->schedule(delay, [this, index, isBeside] {
            m_deployment->disturbByEnd(index, m_deployment->settings->site.gracePeriod + readinessTime);
            m_deployment->nodes.node(index).isInRotation = false;
            auto& process = *m_deployment->nodes.node(index).process;
            if (isBeside)
                process.replace();
            else
                process.signal(SIGTERM);
        });
        delay += event.gap;
    }
}

void DayEvents::stepClocks(const SiteEvent& event)
{
    // The platform's figure is in milliseconds. Taken as seconds, the step is a harsher one.
    const std::chrono::seconds step(static_cast<int64_t>(event.factor.value_or(defaultClockStep)));
    for (const auto index : drawNodes(event, defaultShare)) {
        // No disturbance, as nothing that callers see depends on the time of day.
        auto& nodes = m_deployment->nodes;
        nodes.shiftClock(index, randomIndex(m_deployment->random, 2) == 0 ? step : -step);
        m_deployment->schedule(event.duration, [&nodes, index] { nodes.shiftClock(index, std::chrono::seconds(0)); });
    }
}

void DayEvents::slowNode(size_t node, double factor, TimePoint end)
{
    auto& process = *m_deployment->nodes.node(node).process;
    if (monotonicNow() >= end) {
        process.signal(SIGCONT);
        return;
    }
    process.signal(SIGSTOP);
    const auto stopped
        = Duration(static_cast<int64_t>((1 - 1 / factor) * static_cast<double>(Duration(slowPeriod).count())));
    m_deployment->schedule(stopped, [&process] { process.signal(SIGCONT); });
    m_deployment->schedule(slowPeriod, [this, node, factor, end] { slowNode(node, factor, end); });
}

std::vector<size_t> DayEvents::drawNodes(const SiteEvent& event, double share)
{
    if (hasVariant(event, "leader") || hasVariant(event, "giver")) {
        if (const auto leader = m_deployment->findOrderHolder())
            return { *leader };
    }
    return m_deployment->nodes.draw(event, share, m_deployment->random);
}

bool DayEvents::playOnNodes(const SiteEvent& event)
{
    auto& nodes = m_deployment->nodes;
    switch (event.kind) {
    case SiteEventKind::NodeKill:
    case SiteEventKind::HerdKill:
        for (const auto index : drawNodes(event, event.kind == SiteEventKind::HerdKill ? 1 : 0)) {
            m_deployment->disturbByEnd(index, event.duration + readinessTime);
            if (hasVariant(event, "power") || hasVariant(event, "off"))
                nodes.cutPower(index, event.duration);
            else
                nodes.kill(index, event.duration);
        }
        return true;
    case SiteEventKind::NodeFreeze:
        for (const auto index : drawNodes(event, 0)) {
            m_deployment->disturb(index, event.duration);
            auto& process = *nodes.node(index).process;
            process.signal(SIGSTOP);
            m_deployment->schedule(event.duration, [&process] { process.signal(SIGCONT); });
        }
        return true;
    case SiteEventKind::NodeSlow:
        for (const auto index : drawNodes(event, 0)) {
            m_deployment->disturb(index, event.duration);
            slowNode(index, std::max(event.factor.value_or(2), 1.0), monotonicNow() + event.duration);
        }
        return true;
    case SiteEventKind::RollingRestart:
        rollNodes(event);
        return true;
    case SiteEventKind::ClockStep:
        if (!m_deployment->settings->stepsClocks)
            return false;
        stepClocks(event);
        return true;
    case SiteEventKind::AddNodes:
        while (const auto index = nodes.startSpare(event.failureDomain))
            m_deployment->disturbByEnd(*index, readinessTime);
        return true;
    case SiteEventKind::ReplaceNode:
        for (const auto index : drawNodes(event, 0)) {
            m_deployment->disturbByEnd(index, Duration::max() / 4);
            if (const auto spare = nodes.startSpare(nodes.node(index).failureDomain))
                m_deployment->disturbByEnd(*spare, readinessTime);
            m_deployment->schedule(handoverTime, [&nodes, index] { nodes.retire(index); });
        }
        return true;
    case SiteEventKind::Reload:
        for (const auto index : nodes.active())
            nodes.node(index).process->signal(SIGHUP);
        return true;
    default:
        return false;
    }
}

void DayEvents::cutLinks(size_t node, LinkMode mode, bool concernsTargets, Duration duration)
{
    m_deployment->disturb(node, duration);
    auto& nodes = m_deployment->nodes;
    ++m_storeCuts[node];
    nodes.beginStoreOutage(node);
    nodes.setStoreLink(node, mode);
    if (concernsTargets) {
        ++m_targetCuts[node];
        nodes.setTargetLinks(node, mode);
    }
    m_deployment->schedule(duration, [this, &nodes, node, concernsTargets] {
        if (--m_storeCuts[node] == 0)
            nodes.setStoreLink(node, LinkMode::Pass);
        nodes.endStoreOutage(node);
        if (concernsTargets && --m_targetCuts[node] == 0)
            nodes.setTargetLinks(node, LinkMode::Pass);
    });
}

bool DayEvents::playOnLinks(const SiteEvent& event)
{
    switch (event.kind) {
    case SiteEventKind::StoreCut:
    case SiteEventKind::NodeCut:
        for (const auto index : drawNodes(event, 0))
            cutLinks(index, linkModeOf(event), event.kind == SiteEventKind::NodeCut, event.duration);
        return true;
    case SiteEventKind::ResetConnections: {
        auto& targets = m_deployment->targets;
        m_deployment->disturb(std::nullopt, {});
        for (const auto index : targets.draw(event.service, event.share.value_or(defaultShare), m_deployment->random))
            targets.target(index).resetConnections(event.factor.value_or(1));
        return true;
    }
    default:
        return false;
    }
}

void DayEvents::cutStoreOff(const SiteEvent& event)
{
    auto& store = m_deployment->store;
    ++m_deployment->storeOutages;
    m_deployment->leasesLapse = hasVariant(event, "lapse");
    store.setLeasesPaused(!m_deployment->leasesLapse);
    m_deployment->disturb(std::nullopt, event.duration);
    auto& nodes = m_deployment->nodes;
    const bool isRefused = hasVariant(event, "busy");
    if (isRefused)
        store.setDown(true);
    for (size_t i = 0; i < nodes.count(); ++i) {
        if (isRefused)
            nodes.beginStoreOutage(i);
        else
            cutLinks(i, linkModeOf(event), false, event.duration);
    }
    m_deployment->schedule(event.duration, [this, &store, &nodes, isRefused] {
        if (--m_deployment->storeOutages == 0) {
            store.setDown(false);
            store.setLeasesPaused(false);
        }
        for (size_t i = 0; isRefused && i < nodes.count(); ++i)
            nodes.endStoreOutage(i);
    });
}

void DayEvents::cutStoreOffNodes(const SiteEvent& event)
{
    auto& nodes = m_deployment->nodes;
    const auto refuse = [this, &nodes] {
        std::set<std::string> refused;
        for (size_t i = 0; i < nodes.count(); ++i) {
            if (m_refusals[i] > 0)
                refused.insert(nodes.node(i).storeAddress);
        }
        m_deployment->store.setRefusedViews(std::move(refused));
    };
    const auto chosen = drawNodes(event, defaultShare);
    const bool isRefused = hasVariant(event, "busy");
    for (const auto index : chosen) {
        if (!isRefused) {
            cutLinks(index, linkModeOf(event), false, event.duration);
            continue;
        }
        m_deployment->disturb(index, event.duration);
        ++m_refusals[index];
        nodes.beginStoreOutage(index);
    }
    if (!isRefused)
        return;
    refuse();
    m_deployment->schedule(event.duration, [this, &nodes, chosen, refuse] {
        for (const auto index : chosen)
            --m_refusals[index];
        refuse();
        for (const auto index : chosen)
            nodes.endStoreOutage(index);
    });
}

bool DayEvents::playOnStore(const SiteEvent& event)
{
    auto& store = m_deployment->store;
    switch (event.kind) {
    case SiteEventKind::StoreDown:
        if (hasVariant(event, "nodes"))
            cutStoreOffNodes(event);
        else
            cutStoreOff(event);
        return true;
    case SiteEventKind::StoreSlow:
        m_deployment->disturb(std::nullopt, event.duration);
        store.setDelay(milliseconds(static_cast<int64_t>(event.factor.value_or(50))));
        m_deployment->schedule(event.duration, [&store] { store.setDelay({}); });
        return true;
    case SiteEventKind::StoreAnswersLost:
        m_deployment->disturb(std::nullopt, event.duration);
        store.setLostShare(event.factor.value_or(defaultStrength));
        m_deployment->schedule(event.duration, [&store] { store.setLostShare(0); });
        return true;
    case SiteEventKind::StoreCompact:
        for (Duration delay {}; delay == Duration {} || delay < event.duration; delay += event.gap) {
            m_deployment->schedule(delay, [this, &store] {
                store.compact();
                ++m_deployment->compactions;
            });
        }
        return true;
    default:
        return false;
    }
}

void DayEvents::changeCatalog(const SiteEvent& event)
{
    if (hasVariant(event, "timeout"))
        m_deployment->catalog.changeTimeout(m_catalogSteps++);
    else
        m_deployment->catalog.toggleUnusedRoute();
    m_deployment->writeCatalog();
}

bool DayEvents::playOnCatalog(const SiteEvent& event)
{
    switch (event.kind) {
    case SiteEventKind::CatalogChange:
        changeCatalog(event);
        return true;
    case SiteEventKind::CatalogStorm:
        for (Duration delay {}; delay < event.duration; delay += std::max(event.gap, Duration(milliseconds(20))))
            m_deployment->schedule(delay, [this, &event] { changeCatalog(event); });
        return true;
    case SiteEventKind::CatalogGrowth:
        m_deployment->catalog.addUnusedRoutes(event.count.value_or(defaultRouteCount));
        m_deployment->writeCatalog();
        return true;
    default:
        return false;
    }
}

} // namespace cyclamenstair

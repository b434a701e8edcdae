#include <Benchmarks/Soak/DayNodes.h>

#include <platform/SettingsFields.h>

#include <Cyclamenstair/Http/Endpoint.h>

#include <StandIns/LoopbackPort.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fstream>
#include <iostream>

namespace cyclamenstair {

namespace {

    constexpr size_t seedCount = 3;
    constexpr auto seedDelay = milliseconds(300); ///< Between a start and the settings that hold the seeds.
    constexpr auto clockVariable = "CYCLAMENSTAIR_TEST_CLOCK"; ///< Of Tests/Support/ClockShift.
    constexpr uint64_t bytesPerMb = uint64_t { 1 } << 20U;

    /// Ports of a node, the same at all addresses.
    struct NodePorts {
        uint16_t callers { allocateLoopbackPort() };
        uint16_t probes { allocateLoopbackPort() };
        uint16_t peers { allocateLoopbackPort() };
        uint16_t relays { allocateLoopbackPort() };
        uint16_t metrics { allocateLoopbackPort() };
    };

    std::string addressOf(const std::string& ip, uint16_t port) { return ip + ":" + std::to_string(port); }

    /// Throws Exception if the template cannot be filled in.
    SoakSettingsText settingsOf(const DaySettings& settings, const SiteVms& vms, const SettingsNode& node)
    {
        const auto text
            = renderTemplate(settings.settingsTemplate, settingsFields(settings.site, vms, node), settings.numberForm);
        return { text.value(), node.callerAddress, node.readinessAddress };
    }

} // namespace

DayNode::~DayNode() { linkLoop.stop(); }

DayNodes::~DayNodes() = default;

DayNodes::DayNodes(const DaySettings& settings, RegistryStoreStandIn& store, DayTargets& targets,
    const std::string& folder, SoakTimer& timer)
    : m_timer(&timer)
{
    const NodePorts ports;
    SoakStarts starts;
    starts.seed = settings.seed;
    starts.hasEarlySignals = settings.isStressed;
    starts.hasUnreadOutput = settings.isStressed;
    struct Vm {
        const SiteVms* vms;
        std::string id;
        std::string ip;
        bool isSpare;
    };
    std::vector<Vm> vms;
    for (size_t domain = 0; domain < settings.site.vms.size(); ++domain) {
        const auto& group = settings.site.vms[domain];
        for (size_t i = 0; i < group.count + group.spareCount; ++i)
            vms.push_back({ &group, "node-" + std::to_string(domain + 1) + "-" + std::to_string(i + 1),
                "127.1." + std::to_string(domain + 1) + "." + std::to_string(i + 1), i >= group.count });
    }
    // The first VMs of each failure domain are the seeds.
    std::vector<std::string> seeds;
    for (const auto& vm : vms) {
        if (vm.ip.ends_with(".1") && seeds.size() < seedCount)
            seeds.push_back(addressOf(vm.ip, ports.peers));
    }
    for (const auto& vm : vms) {
        auto node = std::make_unique<DayNode>();
        std::map<std::string, std::string> view;
        for (size_t i = 0; i < targets.count(); ++i) {
            const auto& address = targets.target(i).address();
            node->targetLinks.push_back(std::make_unique<LinkStandIn>(address, node->linkLoop));
            view[address] = node->targetLinks.back()->address();
        }
        node->storeAddress = store.addView(std::move(view));
        node->storeLink = std::make_unique<LinkStandIn>(node->storeAddress, node->linkLoop);
        node->linkLoop.start();
        node->failureDomain = vm.vms->failureDomain;
        node->cpuShare = vm.vms->cpuShare;
        node->memoryMb = vm.vms->memoryMb;
        node->callerEndpoint = parseEndpoint(addressOf(vm.ip, ports.callers)).value();
        node->probeEndpoint = parseEndpoint(addressOf(vm.ip, ports.probes)).value();
        const SettingsNode settingsNode { vm.id, vm.ip, addressOf(vm.ip, ports.callers), addressOf(vm.ip, ports.probes),
            addressOf(vm.ip, ports.peers), ports.metrics, ports.relays, seeds, node->storeLink->address() };
        const auto nodeSettings = settingsOf(settings, *vm.vms, settingsNode);
        starts.limits.maxDescriptors = vm.vms->maxDescriptors;
        starts.limits.maxResidentBytes = static_cast<uint64_t>(vm.vms->memoryMb) * bytesPerMb;
        if (settings.isThrottled) {
            starts.limits.cpuShare = vm.vms->cpuShare;
            starts.limits.throttle = &m_throttle;
        }
        if (starts.daemons.empty()) {
            for (const auto& program : settings.daemons)
                starts.daemons.push_back(probeDaemon(program, nodeSettings, folder));
        }
        node->clockPath = folder + "/" + vm.id + ".clock";
        starts.variables = { { clockVariable, node->clockPath } };
        auto withoutSeeds = settingsNode;
        withoutSeeds.seeds.clear();
        node->settings = nodeSettings;
        node->settingsWithoutSeeds = settingsOf(settings, *vm.vms, withoutSeeds);
        node->process = std::make_unique<SoakNode>(vm.id, folder, nodeSettings, starts, timer);
        m_nodes.push_back(std::move(node));
        shiftClock(m_nodes.size() - 1, std::chrono::seconds(0));
    }
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i]->isSeed = std::find(seeds.begin(), seeds.end(), addressOf(vms[i].ip, ports.peers)) != seeds.end();
        if (!vms[i].isSpare)
            m_firstNodes.push_back(i);
    }
}

void DayNodes::startAll()
{
    for (const auto index : m_firstNodes)
        start(index);
}

std::vector<size_t> DayNodes::active() const
{
    std::vector<size_t> indices;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i]->isStarted && !m_nodes[i]->isRetired)
            indices.push_back(i);
    }
    return indices;
}

std::optional<size_t> DayNodes::find(const std::string& id) const
{
    const auto node = std::find_if(
        m_nodes.begin(), m_nodes.end(), [&](const auto& candidate) { return candidate->process->id() == id; });
    if (node == m_nodes.end())
        return std::nullopt;
    return static_cast<size_t>(node - m_nodes.begin());
}

std::vector<size_t> DayNodes::draw(const SiteEvent& event, double defaultShare, Random& random) const
{
    auto indices = active();
    if (!event.failureDomain.empty())
        std::erase_if(indices, [&](size_t i) { return m_nodes[i]->failureDomain != event.failureDomain; });
    std::shuffle(indices.begin(), indices.end(), random);
    const auto share = event.share.value_or(defaultShare);
    const auto count
        = event.count ? *event.count : static_cast<size_t>(std::lround(share * static_cast<double>(indices.size())));
    indices.resize(std::clamp<size_t>(count, std::min<size_t>(1, indices.size()), indices.size()));
    return indices;
}

void DayNodes::scheduleSeeds(DayNode& node)
{
    node.process->rewriteSettings(node.settingsWithoutSeeds, false, {});
    m_timer->schedule(monotonicNow() + seedDelay, [&node] {
        node.process->rewriteSettings(node.settings, false, {});
        node.process->signal(SIGHUP);
    });
}

void DayNodes::start(size_t index)
{
    auto& node = *m_nodes[index];
    node.isStarted = true;
    node.isPlaced = true;
    node.startedAt = monotonicNow();
    node.readyAt.reset();
    scheduleSeeds(node);
    node.process->start();
}

std::optional<size_t> DayNodes::startSpare(const std::string& failureDomain)
{
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        const auto& node = *m_nodes[i];
        if (node.isStarted || (!failureDomain.empty() && node.failureDomain != failureDomain))
            continue;
        start(i);
        return i;
    }
    return std::nullopt;
}

void DayNodes::kill(size_t index, Duration downTime)
{
    auto& node = *m_nodes[index];
    if (!node.isStarted || node.isRetired)
        return;
    const auto until = monotonicNow() + downTime;
    node.downUntil = std::max(node.downUntil.value_or(until), until);
    node.process->signal(SIGKILL);
}

void DayNodes::cutPower(size_t index, Duration downTime)
{
    auto& node = *m_nodes[index];
    if (!node.isStarted || node.isRetired)
        return;
    const auto until = monotonicNow() + downTime;
    node.downUntil = std::max(node.downUntil.value_or(until), until);
    node.isWithoutPower = true;
    node.process->signal(SIGSTOP);
}

void DayNodes::retire(size_t index)
{
    auto& node = *m_nodes[index];
    if (!node.isStarted || std::exchange(node.isRetired, true))
        return;
    node.isPlaced = false;
    node.process->stop();
}

void DayNodes::setTargetLinks(size_t index, LinkMode mode)
{
    for (const auto& link : m_nodes[index]->targetLinks)
        link->setMode(mode);
}

void DayNodes::shiftClock(size_t index, std::chrono::seconds shift)
{
    // The processes map the file, which must keep its place and size.
    std::fstream file(m_nodes[index]->clockPath, std::ios::in | std::ios::out | std::ios::binary);
    if (!file.is_open())
        file.open(m_nodes[index]->clockPath, std::ios::out | std::ios::binary);
    const int64_t seconds = shift.count();
    file.write(reinterpret_cast<const char*>(&seconds), sizeof(seconds));
}

void DayNodes::endStoreOutage(size_t index)
{
    auto& node = *m_nodes[index];
    --node.storeOutages;
    node.storeBackAt = monotonicNow();
}

bool DayNodes::hasReadySeed(size_t index) const
{
    const auto startedAt = m_nodes[index]->startedAt;
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&](const auto& seed) {
        return seed->isSeed && seed != m_nodes[index] && !seed->isRetired && !seed->downUntil && seed->readyAt
            && *seed->readyAt < startedAt && seed->missedProbes == 0;
    });
}

void DayNodes::tick(const std::function<void(size_t, const SoakEnd&)>& onEnd)
{
    const auto now = monotonicNow();
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        auto& node = *m_nodes[i];
        if (!node.isStarted || (node.downUntil && *node.downUntil > now))
            continue;
        if (node.downUntil)
            scheduleSeeds(node);
        node.downUntil.reset();
        if (std::exchange(node.isWithoutPower, false))
            node.process->signal(SIGKILL);
        const auto ends = node.process->restartIfEnded();
        for (const auto& end : ends)
            onEnd(i, end);
        if (!ends.empty()) {
            node.startedAt = now;
            node.readyAt.reset();
            node.isReportedUnready = false;
        }
    }
}

size_t DayNodes::choose(const std::string& failureDomain, size_t callerHash, std::optional<size_t> exceptNode) const
{
    std::vector<size_t> ready;
    std::vector<size_t> placed;
    std::vector<size_t> others;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        const auto& node = *m_nodes[i];
        if (exceptNode == i || !node.isPlaced)
            continue;
        if (node.failureDomain == failureDomain) {
            placed.push_back(i);
            if (node.isInRotation)
                ready.push_back(i);
        } else if (node.isInRotation) {
            others.push_back(i);
        }
    }
    // With fewer than half of a failure domain's nodes in rotation, the platform uses all of them.
    if (2 * ready.size() < placed.size() && !ready.empty())
        ready = placed;
    for (const auto* candidates : { &ready, &others, &placed }) {
        if (!candidates->empty())
            return (*candidates)[callerHash % candidates->size()];
    }
    return callerHash % m_nodes.size();
}

} // namespace cyclamenstair

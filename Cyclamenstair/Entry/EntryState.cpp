#include <Cyclamenstair/Entry/EntryState.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <cmath>
#include <unistd.h>

namespace cyclamenstair {

namespace {

    /// Share of the platform's allowance for extra attempts that the nodes use. Attempts may arrive in a later window
    /// than the one in which they were counted.
    constexpr double allowanceShare = 0.9;

    RetryAllowance retryAllowance(const schema::EntrySettingsT& entry)
    {
        // Half of the slack is available as a burst, the other half is refilled over the window.
        const double slack = allowanceShare * entry.retry_slack;
        return { allowanceShare * entry.retry_ratio, slack / 2 / entry.retry_window_s, slack / 2 };
    }

    TargetRegistrySettings targetRegistrySettings(const schema::NodeSettingsT& node)
    {
        TargetRegistrySettings settings;
        settings.nodeId = node.id;
        settings.failureDomain = node.failure_domain;
        return settings;
    }

    QuarantineSettings quarantineSettings(const schema::QuarantineSettingsT& quarantine)
    {
        QuarantineSettings settings;
        settings.minFailures = static_cast<uint32_t>(quarantine.failures);
        settings.minRequests = static_cast<uint32_t>(quarantine.requests);
        settings.duration = std::chrono::seconds(quarantine.duration_s);
        settings.maxDuration = std::max(settings.maxDuration, settings.duration);
        return settings;
    }

    void logVerdict(const PartVerdict& verdict)
    {
        logEvent(LogSeverity::Warning, "prompt_part_verdict",
            { { "verdict", std::string(nameOf(verdict.kind)) }, { "part", verdict.part },
                { "failures", std::to_string(verdict.failures) }, { "requests", std::to_string(verdict.requests) },
                { "left_ms", std::to_string(toMilliseconds(verdict.quarantineLeft)) } });
    }

    /// Parts of the node's memory that buffered requests and the control plane may take.
    constexpr double requestBufferShare = 0.25;
    constexpr double controlBufferShare = 0.125;

    size_t bufferBytes(const schema::EntrySettingsT& entry, double share)
    {
        const auto machineBytes
            = static_cast<double>(sysconf(_SC_PHYS_PAGES)) * static_cast<double>(sysconf(_SC_PAGESIZE));
        return static_cast<size_t>(std::min(entry.memory_mb * 1e6, machineBytes) * share);
    }

    /// Time after the start within which a node that does not know the usage of the allotments gets no new connections.
    constexpr Duration maxWaitForFleet = milliseconds(3000);

    /// The allowance is per service; there is no bound over all services.
    constexpr RetryAllowance unlimitedTotal { 1, 1e6, 1e6 };

} // namespace

EntryState::EntryState(const schema::SettingsT& settings)
    : nodeId(settings.node->id)
    , targets(targetRegistrySettings(*settings.node))
    , relays({ .failureDomain = settings.node->failure_domain })
    , retries(retryAllowance(*settings.entry), unlimitedTotal)
    , quarantine(quarantineSettings(*settings.quarantine),
          [this](const PartVerdict& verdict) {
              logVerdict(verdict);
              metrics.add(Metric::PartVerdicts, std::string(nameOf(verdict.kind)));
          })
    , requestBuffers(bufferBytes(*settings.entry, requestBufferShare))
    , controlBuffers(bufferBytes(*settings.entry, controlBufferShare))
    , m_startedAt(suspendAwareNow())
    , m_minNodeCount(static_cast<uint32_t>(settings.entry->retry_nodes))
{
    setNodeCount(0);
}

bool EntryState::activate(ServiceCatalog newCatalog, TimePoint now)
{
    if (!catalog.activateIfNewer(std::move(newCatalog)))
        return false;
    std::map<std::string, FleetRate> rates;
    for (const auto& [team, allotment] : catalog.current()->teams.allotments())
        rates[team] = { allotment.ratePerSecond, allotment.burst };
    allotments.setRates(rates, now);
    return true;
}

bool EntryState::hasTeams() const
{
    const auto current = catalog.current();
    return current && current->teams.isEnabled();
}

Readiness EntryState::readiness(TimePoint now) const
{
    if (isStopping)
        return Readiness::Stopping;
    if (!areTargetsKnown)
        return Readiness::Targets;
    if (!catalog.current())
        return Readiness::Catalog;
    const bool isFleetKnown = !hasTeams() || allotments.hasMajorityView(now) || now - m_startedAt >= maxWaitForFleet;
    return isFleetKnown ? Readiness::Ready : Readiness::Fleet;
}

void EntryState::setNodeCount(size_t nodeCount)
{
    // Joining nodes use their share before this node learns of them.
    constexpr double joiningNodesFactor = 1.25;
    const auto nodes = static_cast<uint32_t>(std::ceil(static_cast<double>(nodeCount) * joiningNodesFactor));
    retries.setNodeCount(std::max(m_minNodeCount, nodes));
}

} // namespace cyclamenstair

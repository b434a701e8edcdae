#include <Cyclamenstair/Entry/ReadinessMonitor.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <utility>

namespace cyclamenstair {

namespace {

    /// Starts take less, so that only a node that lacks something is warned of.
    constexpr Duration warningDelay = milliseconds(2000);
    constexpr Duration warningInterval = milliseconds(10000);

} // namespace

ReadinessMonitor::ReadinessMonitor(Metrics& metrics)
    : m_metrics(&metrics)
{
}

void ReadinessMonitor::observe(Readiness readiness, TimePoint now)
{
    const std::string name(nameOf(readiness));
    const auto previous = std::exchange(m_readiness, readiness);
    if (previous != readiness) {
        const std::string previousName(previous ? nameOf(*previous) : "unknown");
        logEvent(LogSeverity::Info, "readiness_changed", { { "from", previousName }, { "to", name } });
        m_changedAt = now;
        m_warnedAt = {};
        for (const auto& row : EnumNames<Readiness>::table)
            m_metrics->set(Metric::Readiness, row.value == readiness ? 1 : 0, std::string(row.name));
    }
    const bool isExpected = readiness == Readiness::Ready || readiness == Readiness::Stopping;
    if (isExpected || now - m_changedAt < warningDelay || now - m_warnedAt < warningInterval)
        return;
    m_warnedAt = now;
    logEvent(LogSeverity::Warning, "node_not_ready",
        { { "waits_for", name }, { "elapsed_ms", std::to_string(toMilliseconds(now - m_changedAt)) } });
}

} // namespace cyclamenstair

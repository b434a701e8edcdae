#include <Cyclamenstair/Entry/TargetReachMonitor.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Http/SocketOptions.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    constexpr Duration tickInterval = milliseconds(100);
    /// Many round trips; a lost packet fails one probe of several only.
    constexpr Duration connectTimeout = milliseconds(300);
    /// Interval at which an isolated node looks for a way to the targets.
    constexpr Duration isolatedProbeInterval = milliseconds(400);
    /// Connections that are opened at the same time. One is enough to end a suspicion, and those that succeed are
    /// billed.
    constexpr size_t firstProbes = 1;
    constexpr size_t parallelProbes = 2;
    /// The same while the node is isolated. After an outage of all targets the first ones are back among many that are
    /// not.
    constexpr size_t isolatedProbes = 8;

} // namespace

TargetReachMonitor::TargetReachMonitor(boost::asio::io_context& context, EntryState& state, uint64_t seed)
    : m_context(&context)
    , m_state(&state)
    , m_timer(context)
    , m_random(seed)
{
}

void TargetReachMonitor::tick()
{
    // Before the work, so that an exception in it does not end the ticks.
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tick();
    });
    const auto now = monotonicNow();
    const auto& reach = m_state->reach;
    const bool isDue = reach.isIsolated() ? now - m_probedAt >= isolatedProbeInterval : reach.isSuspect(now);
    if (isDue && m_pendingProbes == 0)
        probe(now);
}

void TargetReachMonitor::probe(TimePoint now)
{
    m_probedAt = now;
    auto targets = m_state->targets.records();
    const auto targetCount = targets.size();
    const auto failed = m_state->reach.failedTargets();
    if (!m_state->reach.isIsolated())
        std::erase_if(targets, [&](const auto& target) { return failed.contains(target.id); });
    std::shuffle(targets.begin(), targets.end(), m_random);
    // A single silent target is the usual case; the others are asked only if the first one cannot be reached either.
    const auto probes = m_state->reach.isIsolated() ? isolatedProbes : failed.empty() ? firstProbes : parallelProbes;
    targets.resize(std::min(targets.size(), probes));
    for (const auto& target : targets)
        connect(target, targetCount);
}

void TargetReachMonitor::connect(const TargetRecord& target, size_t targetCount)
{
    const auto endpoint = parseEndpoint(target.address);
    if (!endpoint)
        return;
    auto probe = std::make_shared<Probe>(*m_context);
    probe->timer.expires_after(connectTimeout);
    probe->timer.async_wait([this, probe, id = target.id, targetCount](const boost::system::error_code& ec) {
        if (!ec)
            onEnded(*probe, id, targetCount, "connection attempt timed out");
    });
    // From here on the timer ends the probe.
    ++m_pendingProbes;
    boost::system::error_code ec;
    openClientSocket(probe->socket, endpoint.value().protocol(), ec);
    probe->socket.async_connect(
        endpoint.value(), [this, probe, id = target.id, targetCount](const boost::system::error_code& ec) {
            onEnded(*probe, id, targetCount, ec ? ec.message() : std::string());
        });
}

void TargetReachMonitor::onEnded(Probe& probe, const std::string& target, size_t targetCount, const std::string& error)
{
    if (std::exchange(probe.isEnded, true))
        return;
    --m_pendingProbes;
    boost::system::error_code ignored;
    probe.timer.cancel(ignored);
    probe.socket.close(ignored);
    if (error.empty()) {
        if (m_state->reach.recordConnected())
            logEvent(LogSeverity::Info, "targets_reached", { { "target", target } });
    } else if (m_state->reach.recordConnectFailure(target, targetCount)) {
        logEvent(LogSeverity::Warning, "targets_unreachable", { { "target", target }, { "message", error } });
    }
}

} // namespace cyclamenstair

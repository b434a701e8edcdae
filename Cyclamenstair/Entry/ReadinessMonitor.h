#pragma once

#include <Cyclamenstair/Entry/EntryState.h>

namespace cyclamenstair {

/// Logs and counts what a node waits for before it is ready, as seen by its readiness probes. Belongs to one event
/// loop.
class ReadinessMonitor {
public:
    explicit ReadinessMonitor(Metrics& metrics);

    /// Takes the state at a probe. `now` is on the clock of suspendAwareNow().
    void observe(Readiness readiness, TimePoint now);

private:
    Metrics* m_metrics;
    std::optional<Readiness> m_readiness; ///< At the last probe.
    TimePoint m_changedAt;
    TimePoint m_warnedAt;
};

} // namespace cyclamenstair

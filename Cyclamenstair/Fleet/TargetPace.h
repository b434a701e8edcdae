#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <optional>

namespace cyclamenstair {

/// Settings of a TargetPace.
struct TargetPaceSettings {
    /// Requests at the target before its first answer, over all nodes, as a fraction of its slots; at least
    /// minInitialWindow.
    double initialFraction { 0.25 };
    double minInitialWindow { 2 };
    /// Time after which the target has its full share, also if few requests for it arrive.
    Duration fullPaceTime { milliseconds(4000) };
};

/// Pace at which a target that has just started or recovered gets requests, over all nodes together.
///
/// Load pattern: many nodes with loads that are some hundred milliseconds old all see an idle target and send to it at
/// once; or each waits for the others and the target stays idle. The window grows by one with each answer, so it
/// doubles with each round of requests, and with time. Only some of the nodes use the target, as many as the window
/// allows requests, so no agreement is needed. Not thread-safe.
class TargetPace {
public:
    /// Begins with the initial window, because the target has started or stopped responding.
    void restart(TimePoint now)
    {
        m_restartedAt = now;
        m_ownAnswers = 0;
        m_remoteAnswers = 0;
    }

    /// Counts an answer to this node.
    void countAnswer()
    {
        if (m_restartedAt)
            ++m_ownAnswers;
    }

    /// Sets the answers to the other nodes since the restart.
    void setRemoteAnswers(uint32_t answers) { m_remoteAnswers = answers; }

    /// Returns the answers to this node since the restart, for the other nodes; 0 at full pace.
    uint32_t ownAnswers() const { return m_ownAnswers; }

    /// Ends the restart once the window is as large as the target. Returns whether the target is at full pace.
    bool updateFullPace(uint32_t slots, const TargetPaceSettings& settings, TimePoint now);

    /// Returns how many requests the target may have, over all nodes.
    double window(uint32_t slots, const TargetPaceSettings& settings, TimePoint now) const;

private:
    std::optional<TimePoint> m_restartedAt; ///< No value at full pace.
    uint32_t m_ownAnswers { 0 };
    uint32_t m_remoteAnswers { 0 };
};

} // namespace cyclamenstair

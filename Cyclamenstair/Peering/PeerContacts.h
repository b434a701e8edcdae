#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <map>
#include <string>

namespace cyclamenstair {

/// Settings of PeerContacts.
struct PeerContactsSettings {
    /// Time between two ticks from which on the node counts as having stood still.
    Duration stallTime { milliseconds(500) };
    /// Time after a stall within which the node reads what had reached it meanwhile, and calls the store again. Such
    /// messages do not show what the other nodes do now.
    Duration settleTime { milliseconds(500) };
};

/// Times at which this node last heard from others. Does no I/O; belongs to one thread. All times are on the clock of
/// suspendAwareNow().
class PeerContacts {
public:
    explicit PeerContacts(PeerContactsSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Called at a regular interval, so that a stall of this node is noticed.
    void tick(TimePoint now);

    /// Records a message from `node`.
    void markHeard(const std::string& node, TimePoint now);

    /// Returns the time since which `count` other nodes have been heard from; a very early one if there were fewer.
    /// Without others that is now, unless this node has just stood still.
    TimePoint heardAt(size_t count, TimePoint now) const;

private:
    bool isSettled(TimePoint now) const { return now - m_tickedAt < m_settings.stallTime && now >= m_settledAt; }

    PeerContactsSettings m_settings;
    TimePoint m_tickedAt;
    TimePoint m_settledAt;
    std::map<std::string, TimePoint> m_heardAt; ///< By node id.
};

} // namespace cyclamenstair

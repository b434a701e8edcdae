#pragma once

#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Placement/DemandTracker.h>

namespace cyclamenstair {

/// Publishes the demand measured at this node by gossip, and sums the demand published by all members.
class DemandPublisher {
public:
    /// Members without a heartbeat for `memberTimeout` are excluded from the sum.
    DemandPublisher(std::string node, Duration memberTimeout, DemandTracker& demandTracker, GossipTable& gossip);

    /// Returns the total demand at all live members, including this node.
    DemandByArtifact fleetDemand(TimePoint now) const;

    void stop() { m_thread.stop(); }

private:
    Duration step();

    std::string m_node;
    Duration m_memberTimeout;
    uint64_t m_epoch; ///< Process start in microseconds, so that entries of a later process take precedence.
    DemandTracker* m_demandTracker;
    GossipTable* m_gossip;
    bool m_hasPublishedDemand { false };
    PeriodicThread m_thread; // Last member: starts after and stops before all others.
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Placement/DemandTracker.h>

namespace cyclamenstair {

/// Publishes the demand that this node sees by gossip, and sums what all members published.
class DemandPublisher {
public:
    /// Entries of members without a heartbeat for `memberTimeout` are left out of the sum.
    DemandPublisher(std::string node, Duration memberTimeout, DemandTracker& demand, GossipTable& gossip);

    /// Returns the demand over all live members.
    DemandByArtifact fleetDemand(TimePoint now) const;

    void stop() { m_thread.stop(); }

private:
    Duration step();

    std::string m_node;
    Duration m_memberTimeout;
    uint64_t m_epoch; ///< Start time of this process, which orders its entries after those of earlier ones.
    DemandTracker* m_demand;
    GossipTable* m_gossip;
    bool m_hasPublished { false };
    PeriodicThread m_thread; // Last, so that the thread starts after and ends before everything else.
};

} // namespace cyclamenstair

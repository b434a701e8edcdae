#pragma once

#include <Cyclamenstair/Node/GossipLoop.h>
#include <Cyclamenstair/Settings/LiveSettings.h>
#include <Cyclamenstair/Store/StoreClient.h>

namespace cyclamenstair {

/// Components of a node that the operator API reads and changes. They must outlive it.
struct OperatorContext {
    StoreClient* store { nullptr };
    const ActivePlan* activePlan { nullptr };
    PlanExchange* planExchange { nullptr };
    const GossipTable* gossip { nullptr };
    const GossipLoop* gossipLoop { nullptr };
    const TargetDirectory* directory { nullptr };
    const PeerDirectory* peers { nullptr };
    AuditTrail* audit { nullptr };
    const LiveSettings* settings { nullptr };
};

} // namespace cyclamenstair

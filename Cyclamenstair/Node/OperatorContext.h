#pragma once

#include <Cyclamenstair/Node/GossipLoop.h>
#include <Cyclamenstair/Settings/LiveSettings.h>
#include <Cyclamenstair/Store/StoreClient.h>

namespace cyclamenstair {

/// The parts of a node that the operators' listener shows and changes. They outlive it.
struct OperatorContext {
    StoreClient* store { nullptr };
    const ActivePlan* plans { nullptr };
    PlanExchange* planExchange { nullptr };
    const GossipTable* gossip { nullptr };
    const GossipLoop* gossipLoop { nullptr };
    const TargetDirectory* directory { nullptr };
    const PeerDirectory* peers { nullptr };
    AuditTrail* audit { nullptr };
    const LiveSettings* settings { nullptr };
};

} // namespace cyclamenstair

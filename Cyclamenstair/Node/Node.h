#pragma once

#include <Cyclamenstair/Node/Coordinator.h>
#include <Cyclamenstair/Node/FrontEnd.h>
#include <Cyclamenstair/Node/GossipLoop.h>
#include <Cyclamenstair/Node/MembershipLease.h>
#include <Cyclamenstair/Node/OperatorApi.h>
#include <Cyclamenstair/Node/PlanFollower.h>

namespace cyclamenstair {

/// All parts of the daemon of one entry VM.
class Node {
public:
    /// Starts the node. Fails if a listener cannot be bound or the fleet key cannot be read.
    static Result<std::unique_ptr<Node>> create(const schema::SettingsT& settings);

    /// Planned stop: turns the readiness probe, refuses new calls after the notice, lets running calls end, then stops
    /// all parts.
    void stop();

private:
    Node(const schema::SettingsT& settings, std::string fleetKey);

    schema::SettingsT m_settings;
    std::string m_incarnation;
    StoreClient m_store;
    PlanRegister m_plans;
    GossipTable m_gossip;
    TargetDirectory m_directory;
    RequestExecutor m_executor;
    AuditTrail m_audit;
    PlanExchange m_planExchange;
    PeerDirectory m_peers;
    GossipLoop m_gossipLoop;
    PlanFollower m_planFollower;
    MembershipLease m_membershipLease;
    std::unique_ptr<PeerServer> m_peerServer;
    Coordinator m_coordinator;
    std::unique_ptr<OperatorApi> m_operatorApi;
    std::unique_ptr<FrontEnd> m_frontEnd;
};

} // namespace cyclamenstair

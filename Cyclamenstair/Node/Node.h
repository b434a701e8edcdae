#pragma once

#include <Cyclamenstair/Node/AdmissionGate.h>
#include <Cyclamenstair/Node/BookingExecutor.h>
#include <Cyclamenstair/Node/CallerQuota.h>
#include <Cyclamenstair/Node/Coordinator.h>
#include <Cyclamenstair/Node/FrontEnd.h>
#include <Cyclamenstair/Node/GossipLoop.h>
#include <Cyclamenstair/Node/MembershipLease.h>
#include <Cyclamenstair/Node/NodeMetrics.h>
#include <Cyclamenstair/Node/OperatorApi.h>
#include <Cyclamenstair/Node/PlanFollower.h>
#include <Cyclamenstair/Settings/LiveSettings.h>

namespace cyclamenstair {

/// All parts of the daemon of one entry VM.
class Node {
public:
    /// Starts the node. Fails if a listener cannot be bound or the fleet key cannot be read.
    static Result<std::unique_ptr<Node>> create(const schema::SettingsT& settings);

    /// Planned stop: turns the readiness probe, refuses new calls after the notice, lets running calls end, then stops
    /// all parts.
    void stop();

    /// Takes over the reloadable keys of `settings` and reads the TLS certificates again.
    void reload(const schema::SettingsT& settings);

private:
    Node(const schema::SettingsT& settings, const std::string& fleetKey);

    /// Answers a request of another node.
    PeerMessage answerPeer(const PeerMessage& request);

    schema::SettingsT m_settings;
    LiveSettings m_liveSettings;
    std::string m_incarnation;
    Metrics m_metrics;
    StoreClient m_store;
    ActivePlan m_plans;
    GossipTable m_gossip;
    TargetDirectory m_directory;
    NodeMetrics m_nodeMetrics;
    OrderBook m_orders;
    DemandTracker m_demand;
    RequestExecutor m_executor;
    BookingExecutor m_bookings;
    AdmissionGate m_admission;
    CallerQuota m_quota;
    AuditTrail m_audit;
    PlanExchange m_planExchange;
    PeerDirectory m_peers;
    GossipLoop m_gossipLoop;
    PlanFollower m_planFollower;
    MembershipLease m_membershipLease;
    std::unique_ptr<PeerServer> m_peerServer;
    VmListFollower m_vms;
    DemandPublisher m_demandPublisher;
    OrderEvidence m_orderEvidence;
    Coordinator m_coordinator;
    std::unique_ptr<OperatorApi> m_operatorApi;
    std::unique_ptr<FrontEnd> m_frontEnd;
};

} // namespace cyclamenstair

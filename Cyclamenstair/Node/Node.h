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
#include <Cyclamenstair/Node/PlanWatcher.h>
#include <Cyclamenstair/Settings/LiveSettings.h>
#include <Cyclamenstair/Telemetry/ProcessInfo.h>
#include <Cyclamenstair/Telemetry/ProcessSignal.h>

namespace cyclamenstair {

/// Daemon process of one entry VM: owns and connects all components.
class Node {
public:
    /// Starts the node. Fails if a listener cannot bind its address or the fleet key cannot be read.
    /// `start` is written to the log.
    static Result<std::unique_ptr<Node>> create(const schema::SettingsT& settings, const ProcessStart& start = {});

    /// Stops gracefully: fails the readiness probe, refuses new requests after the drain notice period, waits for
    /// running requests to finish, then stops all components. `signal` is the cause, if a signal is.
    void stop(std::optional<ProcessSignal> signal = std::nullopt);

    /// Applies the reloadable keys of `settings` and reloads the TLS certificates.
    void reload(const schema::SettingsT& settings);

private:
    Node(const schema::SettingsT& settings, const std::string& fleetKey);

    /// Handles a request from another node and returns the response.
    PeerMessage handlePeerRequest(const PeerMessage& request);

    schema::SettingsT m_settings;
    LiveSettings m_liveSettings;
    std::string m_incarnation;
    Metrics m_metrics;
    StoreClient m_store;
    ActivePlan m_activePlan;
    GossipTable m_gossip;
    TargetDirectory m_directory;
    NodeMetrics m_nodeMetrics;
    OrderTracker m_orders;
    DemandTracker m_demandTracker;
    RequestExecutor m_executor;
    BookingExecutor m_bookings;
    AdmissionGate m_admission;
    CallerQuota m_quota;
    AuditTrail m_audit;
    PlanExchange m_planExchange;
    PeerDirectory m_peers;
    GossipLoop m_gossipLoop;
    PlanWatcher m_planWatcher;
    MembershipLease m_membershipLease;
    std::unique_ptr<PeerServer> m_peerServer;
    VmListPoller m_vmList;
    DemandPublisher m_demandPublisher;
    SenderStatusResolver m_senderStatusResolver;
    Coordinator m_coordinator;
    std::unique_ptr<OperatorApi> m_operatorApi;
    std::unique_ptr<FrontEnd> m_frontEnd;
};

} // namespace cyclamenstair

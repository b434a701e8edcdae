#pragma once

#include <Cyclamenstair/Node/DemandPublisher.h>
#include <Cyclamenstair/Node/PortionLease.h>
#include <Cyclamenstair/Node/SenderStatusResolver.h>
#include <Cyclamenstair/Node/TargetWorker.h>
#include <Cyclamenstair/Placement/PlacementPolicy.h>
#include <Cyclamenstair/Plan/ActivePlan.h>
#include <Cyclamenstair/Telemetry/Metrics.h>

#include <map>
#include <memory>

namespace cyclamenstair {

/// Places artifacts in the pools that this node coordinates, dispatches the orders to the workers of the targets, and
/// publishes the status of the targets by gossip.
class Coordinator {
public:
    Coordinator(const schema::SettingsT& settings, const SenderStatusResolver& senderStatus, const VmListPoller& vms,
        const DemandPublisher& demandPublisher, StoreClient& store, const ActivePlan& activePlan, GossipTable& gossip,
        TargetDirectory& directory, Metrics& metrics);

    ~Coordinator();

    /// Stops the threads of the coordinator. Completes orders in progress, then releases ownership of all targets.
    void stop();

private:
    using VmsByPool = std::map<std::string, std::vector<VmInfo>>;
    using WorkersByTarget = std::map<std::string, std::unique_ptr<TargetWorker>>;

    Duration step();
    bool isMembershipStable(TimePoint now);
    std::vector<std::string> candidateMembers(TimePoint now) const;
    VmsByPool coordinatedPools(const std::vector<VmInfo>& vms) const;
    void publishServices(const std::vector<VmInfo>& vms);
    void updateWorkers(const std::vector<VmInfo>& vms, const std::set<std::string>& coordinatedTargets);
    void renewPortionLeases(size_t coordinatedEngineCount, size_t totalEngineCount);
    void placePool(const std::string& pool, const std::vector<VmInfo>& vms, const Plan& plan, TimePoint now);
    void dispatchOrders(const std::vector<PlacementOrder>& orders);
    void finishOrder(const PlacementOrder& order);
    PortionLease& portionLeaseFor(const PlacementOrder& order);
    void publishEngineStatus(const TargetWorker& worker);
    void publishStatus(const TargetStatus& status, uint64_t epoch);

    schema::SettingsT m_settings;
    const SenderStatusResolver* m_senderStatus;
    const VmListPoller* m_vmList;
    const DemandPublisher* m_demandPublisher;
    StoreClient* m_store;
    const ActivePlan* m_activePlan;
    GossipTable* m_gossip;
    TargetDirectory* m_directory;
    Metrics* m_metrics;
    PortionLease m_weightLoadLease;
    PortionLease m_adapterLoadLease;
    std::map<std::string, PlacementPolicy> m_policies; ///< By pool.
    std::map<std::string, std::vector<std::string>> m_loggedUnplaced; ///< Artifacts logged as not placed, by pool.
    WorkersByTarget m_workers; ///< By target.
    std::map<std::string, TimePoint> m_unknownStateSince; ///< Time since which the state of a target is unknown.
    TimePoint m_lastStepAt;
    TimePoint m_stableAt;
    std::mutex m_publishMutex; ///< Prevents an older status from replacing a newer one.
    PeriodicThread m_thread; // Last member: starts after and stops before all others.
};

} // namespace cyclamenstair

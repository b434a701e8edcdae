#pragma once

#include <Cyclamenstair/Node/DemandPublisher.h>
#include <Cyclamenstair/Node/OrderEvidence.h>
#include <Cyclamenstair/Node/PortionKeeper.h>
#include <Cyclamenstair/Node/TargetWorker.h>
#include <Cyclamenstair/Placement/PlacementPolicy.h>
#include <Cyclamenstair/Plan/ActivePlan.h>
#include <Cyclamenstair/Telemetry/Metrics.h>

#include <map>
#include <memory>

namespace cyclamenstair {

/// Decides on the targets of the pools that this node coordinates, hands the orders to the targets' workers and
/// publishes the targets' status.
class Coordinator {
public:
    Coordinator(const schema::SettingsT& settings, const OrderEvidence& evidence, const VmListFollower& vms,
        const DemandPublisher& demand, StoreClient& store, const ActivePlan& plans, GossipTable& gossip,
        TargetDirectory& directory, Metrics& metrics);

    ~Coordinator();

    /// Ends the coordinator's threads; orders under way are finished and ownership is given back.
    void stop();

private:
    using Pools = std::map<std::string, std::vector<VmInfo>>;
    using Workers = std::map<std::string, std::unique_ptr<TargetWorker>>;

    Duration step();
    bool isMembershipSettled(TimePoint now);
    std::vector<std::string> members(TimePoint now) const;
    Pools ownPools(const std::vector<VmInfo>& vms) const;
    void coordinateServices(const std::vector<VmInfo>& vms);
    void updateWorkers(const std::vector<VmInfo>& vms, const std::set<std::string>& ownTargets);
    void renewPortions(size_t ownEngines, size_t allEngines);
    void decide(const std::string& pool, const std::vector<VmInfo>& vms, const Plan& plan, TimePoint now);
    void submit(const std::vector<PlacementOrder>& orders);
    void endOrder(const PlacementOrder& order);
    PortionKeeper& portionFor(const PlacementOrder& order);
    void publishEngine(const TargetWorker& worker);
    void publish(const TargetStatus& status, uint64_t epoch);

    schema::SettingsT m_settings;
    const OrderEvidence* m_evidence;
    const VmListFollower* m_vms;
    const DemandPublisher* m_demand;
    StoreClient* m_store;
    const ActivePlan* m_plans;
    GossipTable* m_gossip;
    TargetDirectory* m_directory;
    Metrics* m_metrics;
    PortionKeeper m_weightLoads;
    PortionKeeper m_adapterLoads;
    std::map<std::string, PlacementPolicy> m_policies; ///< By pool.
    std::map<std::string, std::vector<std::string>> m_unplaced; ///< As logged last, by pool.
    Workers m_workers; ///< By target.
    std::map<std::string, TimePoint> m_unreadSince; ///< Since when the target's state is not known, by target.
    TimePoint m_lastStep;
    TimePoint m_settledAt;
    std::mutex m_publishMutex; ///< Keeps an older status from being published over a newer one.
    PeriodicThread m_thread; // Last, so that the thread starts after and ends before everything else.
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Node/TargetDirectory.h>
#include <Cyclamenstair/Node/TargetOperator.h>
#include <Cyclamenstair/Placement/PoolAssignment.h>
#include <Cyclamenstair/Plan/PlanRegister.h>

#include <map>
#include <memory>

namespace cyclamenstair {

/// Brings the targets of the pools that this node coordinates to the plan and publishes their status.
class Coordinator {
public:
    Coordinator(const schema::SettingsT& settings, std::string incarnation, StoreClient& store,
        const PlanRegister& plans, GossipTable& gossip, TargetDirectory& directory);

    /// Ends the coordinator's thread; orders under way are finished.
    void stop();

private:
    using Pools = std::map<std::string, std::vector<VmInfo>>;

    Duration step();
    void readVmList();
    Pools ownPools() const;
    void coordinateServices(const std::vector<VmInfo>& vms);
    void coordinatePool(const std::vector<VmInfo>& vms);
    void bringToPlan(TargetOperator& engine, const Plan& plan, const std::vector<std::string>& wanted);
    void publish(const VmInfo& vm, const std::string& instance, uint64_t epoch, std::vector<std::string> artifacts);

    schema::SettingsT m_settings;
    std::string m_incarnation;
    StoreClient* m_store;
    const PlanRegister* m_plans;
    GossipTable* m_gossip;
    TargetDirectory* m_directory;
    VmListClient m_vmList;
    std::vector<VmInfo> m_vms;
    std::map<std::string, std::unique_ptr<TargetOperator>> m_engines;
    PeriodicThread m_thread; // Last, so that the thread starts after and ends before everything else.
};

} // namespace cyclamenstair

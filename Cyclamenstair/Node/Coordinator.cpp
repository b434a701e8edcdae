#include <Cyclamenstair/Node/Coordinator.h>

#include <Cyclamenstair/Core/Hash.h>
#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <future>

namespace cyclamenstair {

namespace {

    constexpr Duration vmListTimeout = milliseconds(1000);

    LoadRequest loadRequest(const Plan& plan, const std::string& artifact)
    {
        if (const auto* model = plan.findModel(artifact))
            return { artifact, "", model->memoryBytes };
        if (const auto* adapter = plan.findAdapter(artifact))
            return { artifact, adapter->model, adapter->memoryBytes };
        return {};
    }

    bool contains(const std::vector<std::string>& names, const std::string& name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

} // namespace

Coordinator::Coordinator(const schema::SettingsT& settings, std::string incarnation, StoreClient& store,
    const PlanRegister& plans, GossipTable& gossip, TargetDirectory& directory)
    : m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_store(&store)
    , m_plans(&plans)
    , m_gossip(&gossip)
    , m_directory(&directory)
    , m_vmList(settings.platform->vm_list_endpoint)
    , m_thread("coordinator", [this] { return step(); })
{
}

void Coordinator::stop() { m_thread.stop(); }

Duration Coordinator::step()
{
    readVmList();
    for (const auto& [pool, vms] : ownPools()) {
        if (vms.front().kind == VmKind::Service)
            coordinateServices(vms);
        else
            coordinatePool(vms);
    }
    return milliseconds(m_settings.placement->interval_ms);
}

void Coordinator::readVmList()
{
    auto vms = m_vmList.read(vmListTimeout);
    if (!vms)
        return;
    m_vms = std::move(*vms);
    std::vector<std::string> leaving;
    for (const auto& vm : m_vms) {
        if (vm.state == VmState::Leaving)
            leaving.push_back(vm.id);
    }
    m_directory->markLeaving(leaving);
}

Coordinator::Pools Coordinator::ownPools() const
{
    // Members whose heartbeat is recent share out the pools by rendezvous hashing.
    std::vector<std::string> members;
    for (const auto& key :
        m_gossip->recentKeys(memberKeyPrefix, milliseconds(m_settings.peer->member_timeout_ms), monotonicNow()))
        members.push_back(key.substr(memberKeyPrefix.size()));
    Pools pools;
    for (const auto& vm : m_vms) {
        if (vm.kind != VmKind::Node && vm.region == m_settings.node->region)
            pools[vm.pool].push_back(vm);
    }
    std::erase_if(pools, [&](const auto& pool) { return rendezvousOwner(pool.first, members) != m_settings.node->id; });
    return pools;
}

void Coordinator::coordinateServices(const std::vector<VmInfo>& vms)
{
    for (const auto& vm : vms)
        publish(vm, "", 1, vm.services);
}

void Coordinator::coordinatePool(const std::vector<VmInfo>& vms)
{
    const auto plan = m_plans->plan();
    if (!plan)
        return;

    // Take over the targets that can be ordered.
    std::vector<TargetOperator*> engines;
    for (const auto& vm : vms) {
        auto& engine = m_engines[vm.id];
        if (!engine)
            engine = std::make_unique<TargetOperator>(
                *m_store, vm, m_incarnation, milliseconds(m_settings.placement->order_timeout_ms));
        engine->setVm(vm);
        if (engine->prepare())
            engines.push_back(engine.get());
    }

    // Decide where each artifact belongs.
    std::vector<PlacementTarget> targets;
    for (const auto* engine : engines)
        targets.push_back({ engine->vm().id, engine->vm().failureDomain, engine->vm().memoryBytes,
            engine->vm().state == VmState::Leaving, &engine->ledger() });
    auto assignment = assignArtifacts(*plan, targets);
    for (const auto& artifact : assignment.unplaced)
        logEvent(LogSeverity::Warning, "artifact_not_placed", { { "artifact", artifact } });

    // Give the orders, one thread a target.
    std::vector<std::future<void>> running;
    for (auto* engine : engines) {
        running.push_back(std::async(std::launch::async, [this, engine, &plan, &assignment] {
            bringToPlan(*engine, *plan, assignment.artifactsByTarget[engine->vm().id]);
        }));
    }
    for (auto& order : running)
        order.get();
}

void Coordinator::bringToPlan(TargetOperator& engine, const Plan& plan, const std::vector<std::string>& wanted)
{
    const auto publishStatus = [&] {
        std::vector<std::string> reachable;
        for (const auto& entry : engine.ledger().entries()) {
            if (engine.ledger().isReachable(entry.artifact))
                reachable.push_back(entry.artifact);
        }
        publish(engine.vm(), engine.ledger().instance(), engine.ledger().epoch(), std::move(reachable));
    };
    publishStatus();
    for (const auto& artifact : wanted) {
        if (!engine.ledger().isReachable(artifact) && engine.load(loadRequest(plan, artifact)))
            publishStatus();
    }
    const auto entries = engine.ledger().entries();
    for (const auto& entry : entries) {
        if (contains(wanted, entry.artifact) || loadRequest(plan, entry.artifact).memoryBytes != 0)
            continue;
        engine.unload(entry.artifact);
        publishStatus();
    }
}

void Coordinator::publish(
    const VmInfo& vm, const std::string& instance, uint64_t epoch, std::vector<std::string> artifacts)
{
    TargetStatus status;
    status.target = vm.id;
    status.kind = vm.kind == VmKind::Service ? TargetKind::Service : TargetKind::Engine;
    status.address = vm.address;
    status.pool = vm.pool;
    status.failureDomain = vm.failureDomain;
    status.instance = instance;
    status.memoryBytes = vm.memoryBytes;
    status.isLeaving = vm.state == VmState::Leaving;
    status.artifacts = std::move(artifacts);
    const auto key = targetKeyPrefix + vm.id;
    auto encoded = encodeTargetStatus(status);
    const auto present = m_gossip->find(key);
    if (present && present->payload == encoded && present->version.epoch >= epoch)
        return;
    m_gossip->publish(key, epoch, std::move(encoded), monotonicNow());
    m_directory->update(status);
}

} // namespace cyclamenstair

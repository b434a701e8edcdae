#include <Cyclamenstair/Node/Coordinator.h>

#include <Cyclamenstair/Core/Hash.h>
#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Gossip intervals after the start or a pause within which the heartbeats of the other members arrive.
    constexpr int64_t settlingIntervals = 4;

    /// Longest time for which a pool is not planned because the state of one of its engines is not known. Its models
    /// would be placed a second time, and where the engine ignores fencing both places stay reserved. The state is read
    /// again within a second or two unless the engine or the store is lost; then its models are placed elsewhere.
    constexpr Duration unreadLimit = milliseconds(5000);

    PlacementPolicy policyFrom(schema::PlacementPolicyKind kind)
    {
        if (kind == schema::PlacementPolicyKind::FollowDemand)
            return FollowDemandPolicy {};
        return HysteresisPolicy {};
    }

    uint32_t shareOf(int32_t limit, size_t own, size_t all)
    {
        if (own == 0 || limit <= 0)
            return 0;
        const auto total = static_cast<size_t>(limit);
        return static_cast<uint32_t>((total * own + all - 1) / all);
    }

} // namespace

Coordinator::Coordinator(const schema::SettingsT& settings, const OrderEvidence& evidence, const VmListFollower& vms,
    const DemandPublisher& demand, StoreClient& store, const ActivePlan& plans, GossipTable& gossip,
    TargetDirectory& directory, Metrics& metrics)
    : m_settings(settings)
    , m_evidence(&evidence)
    , m_vms(&vms)
    , m_demand(&demand)
    , m_store(&store)
    , m_plans(&plans)
    , m_gossip(&gossip)
    , m_directory(&directory)
    , m_metrics(&metrics)
    , m_weightLoads(store, "weight_loads/" + settings.node->region, evidence.incarnation(),
          [&evidence](const std::string& holder) { return evidence.hasEnded(holder); })
    , m_adapterLoads(store, "adapter_loads/" + settings.node->region, evidence.incarnation(),
          [&evidence](const std::string& holder) { return evidence.hasEnded(holder); })
    , m_thread("coordinator", [this] { return step(); })
{
}

Coordinator::~Coordinator() { stop(); }

void Coordinator::stop()
{
    m_thread.stop();
    // All workers end their orders at the same time.
    for (auto& [target, worker] : m_workers)
        worker->setActive(false);
    for (auto& [target, worker] : m_workers)
        worker->stop();
    m_weightLoads.surrender();
    m_adapterLoads.surrender();
}

Duration Coordinator::step()
{
    const auto interval = milliseconds(m_settings.placement->interval_ms);
    const auto now = monotonicNow();
    if (!isMembershipSettled(now))
        return interval;
    const auto vms = m_vms->vms();
    const auto pools = ownPools(vms);
    std::set<std::string> ownTargets;
    for (const auto& [pool, rows] : pools) {
        for (const auto& vm : rows) {
            if (vm.kind == VmKind::Engine)
                ownTargets.insert(vm.id);
        }
    }
    updateWorkers(vms, ownTargets);
    const auto allEngines = std::count_if(vms.begin(), vms.end(),
        [&](const auto& vm) { return vm.kind == VmKind::Engine && vm.region == m_settings.node->region; });
    renewPortions(ownTargets.size(), static_cast<size_t>(allEngines));
    const auto plan = m_plans->plan();
    for (const auto& [pool, rows] : pools) {
        if (rows.front().kind == VmKind::Service)
            coordinateServices(rows);
        else if (plan)
            decide(pool, rows, *plan, now);
    }
    return interval;
}

bool Coordinator::isMembershipSettled(TimePoint now)
{
    // After the start or a pause of the process the other members' heartbeats are unknown or old. Without this wait the
    // node would take itself for the only member and take over every target.
    const auto pauseLimit = milliseconds(m_settings.peer->member_timeout_ms) / 2;
    const bool wasPaused = m_lastStep != TimePoint() && now - m_lastStep > pauseLimit;
    if (m_lastStep == TimePoint() || wasPaused)
        m_settledAt = now + settlingIntervals * milliseconds(m_settings.peer->gossip_interval_ms);
    m_lastStep = now;
    return now >= m_settledAt;
}

std::vector<std::string> Coordinator::members(TimePoint now) const
{
    std::vector<std::string> all;
    std::vector<std::string> staying;
    for (const auto& key :
        m_gossip->recentKeys(memberKeyPrefix, milliseconds(m_settings.peer->member_timeout_ms), now)) {
        const auto entry = m_gossip->find(key);
        if (!entry)
            continue;
        all.push_back(key.substr(memberKeyPrefix.size()));
        if (!decodeMember(entry->payload).isDraining)
            staying.push_back(all.back());
    }
    return staying.empty() ? all : staying;
}

Coordinator::Pools Coordinator::ownPools(const std::vector<VmInfo>& vms) const
{
    // Members whose heartbeat is recent share out the pools by rendezvous hashing.
    const auto candidates = members(monotonicNow());
    Pools pools;
    for (const auto& vm : vms) {
        if (vm.kind != VmKind::Node && vm.region == m_settings.node->region)
            pools[vm.pool].push_back(vm);
    }
    std::erase_if(
        pools, [&](const auto& pool) { return rendezvousOwner(pool.first, candidates) != m_settings.node->id; });
    return pools;
}

void Coordinator::coordinateServices(const std::vector<VmInfo>& vms)
{
    for (const auto& vm : vms) {
        TargetStatus status { vm.id, TargetKind::Service, vm.address, vm.pool, vm.failureDomain, "", vm.memoryBytes,
            vm.state == VmState::Leaving, vm.services };
        publish(status, 1);
    }
}

void Coordinator::updateWorkers(const std::vector<VmInfo>& vms, const std::set<std::string>& ownTargets)
{
    std::erase_if(m_unreadSince, [&](const auto& row) { return !ownTargets.contains(row.first); });
    for (const auto& vm : vms) {
        if (!ownTargets.contains(vm.id))
            continue;
        auto& worker = m_workers[vm.id];
        if (worker && worker->snapshot().vm.address != vm.address) {
            // A VM that was replaced under its id. The former worker goes once its order has ended.
            worker->setActive(false);
            if (worker->snapshot().isOwned)
                continue;
            worker.reset();
        }
        if (!worker) {
            worker = std::make_unique<TargetWorker>(
                *m_store, *m_evidence, vm,
                TargetWorkerSettings { milliseconds(m_settings.placement->interval_ms),
                    milliseconds(m_settings.placement->order_timeout_ms) },
                [this](const TargetWorker& changed) { publishEngine(changed); },
                [this](const PlacementOrder& order, bool isDone) {
                    if (isDone)
                        m_metrics->add(Metric::Moves, std::string(nameOf(order.kind)));
                    endOrder(order);
                });
        }
        worker->setVm(vm);
        worker->setActive(true);
    }
    std::erase_if(m_workers, [&](const auto& row) {
        if (ownTargets.contains(row.first))
            return false;
        row.second->setActive(false);
        const bool isListed = std::any_of(vms.begin(), vms.end(), [&](const auto& vm) { return vm.id == row.first; });
        return !isListed && !row.second->snapshot().isOwned;
    });
}

void Coordinator::renewPortions(size_t ownEngines, size_t allEngines)
{
    if (ownEngines == 0) {
        m_weightLoads.surrender();
        m_adapterLoads.surrender();
        return;
    }
    const auto renew = [&](PortionKeeper& portion, int32_t limit) {
        portion.renew(shareOf(limit, ownEngines, allEngines), static_cast<uint32_t>(limit));
    };
    renew(m_weightLoads, m_settings.platform->weight_loads_at_once);
    renew(m_adapterLoads, m_settings.platform->adapter_loads_at_once);
}

void Coordinator::decide(const std::string& pool, const std::vector<VmInfo>& vms, const Plan& plan, TimePoint now)
{
    std::vector<TargetSnapshot> snapshots;
    bool isStateMissing = false;
    for (const auto& vm : vms) {
        const auto worker = m_workers.find(vm.id);
        if (worker == m_workers.end())
            continue;
        auto snapshot = worker->second->snapshot();
        // A target whose state is not known takes part in nothing.
        if (snapshot.isOwned && snapshot.isRead) {
            m_unreadSince.erase(vm.id);
            snapshots.push_back(std::move(snapshot));
        } else {
            isStateMissing |= now - m_unreadSince.try_emplace(vm.id, now).first->second < unreadLimit;
        }
    }
    if (isStateMissing)
        return;
    PlacementInput input { &plan, {}, m_demand->fleetDemand(now),
        { m_weightLoads.freeSlots(), m_adapterLoads.freeSlots() }, now };
    for (const auto& snapshot : snapshots) {
        input.targets.push_back({ snapshot.vm.id, snapshot.vm.failureDomain, snapshot.vm.memoryBytes,
            snapshot.isLeaving, &snapshot.ledger, snapshot.isOrderable });
    }
    auto& policy = m_policies.try_emplace(pool, policyFrom(m_settings.placement->policy)).first->second;
    const auto decision = decidePlacement(policy, input);
    auto& unplaced = m_unplaced[pool];
    if (unplaced != decision.unplaced) {
        for (const auto& artifact : decision.unplaced)
            logEvent(LogSeverity::Warning, "artifact_not_placed", { { "artifact", artifact }, { "pool", pool } });
        unplaced = decision.unplaced;
    }
    submit(decision.orders);
}

void Coordinator::submit(const std::vector<PlacementOrder>& orders)
{
    std::map<std::string, std::vector<PlacementOrder>> byTarget;
    std::set<std::string> withoutSlot;
    for (const auto& order : orders) {
        // The later orders of a target rely on the earlier ones.
        if (withoutSlot.contains(order.target))
            continue;
        if (order.kind == OrderKind::Load && !portionFor(order).tryAcquire())
            withoutSlot.insert(order.target);
        else
            byTarget[order.target].push_back(order);
    }
    for (auto& [target, list] : byTarget)
        m_workers.at(target)->submit(std::move(list));
}

void Coordinator::endOrder(const PlacementOrder& order)
{
    if (order.kind == OrderKind::Load)
        portionFor(order).release();
    m_thread.wake();
}

PortionKeeper& Coordinator::portionFor(const PlacementOrder& order)
{
    return order.baseModel.empty() ? m_weightLoads : m_adapterLoads;
}

void Coordinator::publishEngine(const TargetWorker& worker)
{
    // The snapshot is taken under the lock, so that an older one is never published over a newer one.
    std::lock_guard lock(m_publishMutex);
    const auto snapshot = worker.snapshot();
    // Only the owner knows what must be resident.
    if (!snapshot.isOwned)
        return;
    TargetStatus status { snapshot.vm.id, TargetKind::Engine, snapshot.vm.address, snapshot.vm.pool,
        snapshot.vm.failureDomain, snapshot.ledger.instance(), snapshot.vm.memoryBytes, snapshot.isLeaving, {} };
    for (const auto& entry : snapshot.ledger.entries()) {
        if (snapshot.ledger.isReachable(entry.artifact))
            status.artifacts.push_back(entry.artifact);
    }
    publish(status, snapshot.ledger.epoch());
}

void Coordinator::publish(const TargetStatus& status, uint64_t epoch)
{
    const auto key = targetKeyPrefix + status.target;
    auto encoded = encodeTargetStatus(status);
    const auto present = m_gossip->find(key);
    if (present && (present->version.epoch > epoch || (present->version.epoch == epoch && present->payload == encoded)))
        return;
    m_gossip->publish(key, epoch, std::move(encoded), monotonicNow());
    m_directory->update(status);
}

} // namespace cyclamenstair

#include <Cyclamenstair/Node/Coordinator.h>

#include <Cyclamenstair/Core/Hash.h>
#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Number of gossip intervals to wait after a start or a pause for the heartbeats of the other members.
    constexpr int64_t stabilizationIntervals = 4;

    /// Maximum time for which placement in a pool is suspended because the state of one of its engines is unknown.
    /// Placing earlier would load the models of that engine a second time, and the memory of both copies stays reserved
    /// if the engine ignores fencing tokens. The state is normally read again within 2 s; if the engine or the store
    /// has failed, the models are placed on other engines after this time.
    constexpr Duration maxUnknownStateDelay = milliseconds(5000);

    PlacementPolicy makePolicy(schema::PlacementPolicyKind kind)
    {
        if (kind == schema::PlacementPolicyKind::FollowDemand)
            return FollowDemandPolicy {};
        return HysteresisPolicy {};
    }

    /// Returns the share of `limit` for `count` of `totalCount` engines, rounded up.
    uint32_t proportionalShare(int32_t limit, size_t count, size_t totalCount)
    {
        if (count == 0 || limit <= 0)
            return 0;
        const auto slots = static_cast<size_t>(limit);
        return static_cast<uint32_t>((slots * count + totalCount - 1) / totalCount);
    }

} // namespace

Coordinator::Coordinator(const schema::SettingsT& settings, const SenderStatusResolver& senderStatus,
    const VmListPoller& vms, const DemandPublisher& demandPublisher, StoreClient& store, const ActivePlan& activePlan,
    GossipTable& gossip, TargetDirectory& directory, Metrics& metrics)
    : m_settings(settings)
    , m_senderStatus(&senderStatus)
    , m_vmList(&vms)
    , m_demandPublisher(&demandPublisher)
    , m_store(&store)
    , m_activePlan(&activePlan)
    , m_gossip(&gossip)
    , m_directory(&directory)
    , m_metrics(&metrics)
    , m_weightLoadLease(store, "weight_loads/" + settings.node->region, senderStatus.incarnation(),
          [&senderStatus](const std::string& holder) { return senderStatus.hasProcessEnded(holder); })
    , m_adapterLoadLease(store, "adapter_loads/" + settings.node->region, senderStatus.incarnation(),
          [&senderStatus](const std::string& holder) { return senderStatus.hasProcessEnded(holder); })
    , m_thread("coordinator", [this] { return step(); })
{
}

Coordinator::~Coordinator() { stop(); }

void Coordinator::stop()
{
    m_thread.stop();
    // Deactivate all workers first, so that they complete their orders in parallel.
    for (auto& [target, worker] : m_workers)
        worker->setActive(false);
    for (auto& [target, worker] : m_workers)
        worker->stop();
    m_weightLoadLease.releaseLease();
    m_adapterLoadLease.releaseLease();
}

Duration Coordinator::step()
{
    const auto interval = milliseconds(m_settings.placement->interval_ms);
    const auto now = monotonicNow();
    if (!isMembershipStable(now))
        return interval;
    const auto vms = m_vmList->vms();
    const auto pools = coordinatedPools(vms);
    std::set<std::string> coordinatedTargets;
    for (const auto& [pool, rows] : pools) {
        for (const auto& vm : rows) {
            if (vm.kind == VmKind::Engine)
                coordinatedTargets.insert(vm.id);
        }
    }
    updateWorkers(vms, coordinatedTargets);
    const auto totalEngineCount = std::count_if(vms.begin(), vms.end(),
        [&](const auto& vm) { return vm.kind == VmKind::Engine && vm.region == m_settings.node->region; });
    renewPortionLeases(coordinatedTargets.size(), static_cast<size_t>(totalEngineCount));
    const auto plan = m_activePlan->plan();
    for (const auto& [pool, rows] : pools) {
        if (rows.front().kind == VmKind::Service)
            publishServices(rows);
        else if (plan)
            placePool(pool, rows, *plan, now);
    }
    return interval;
}

bool Coordinator::isMembershipStable(TimePoint now)
{
    // After a start or a pause of the process, heartbeats of other members are missing or stale. Without this delay the
    // node would consider itself the only member and take over every target.
    const auto pauseThreshold = milliseconds(m_settings.peer->member_timeout_ms) / 2;
    const bool wasPaused = m_lastStepAt != TimePoint() && now - m_lastStepAt > pauseThreshold;
    if (m_lastStepAt == TimePoint() || wasPaused)
        m_stableAt = now + stabilizationIntervals * milliseconds(m_settings.peer->gossip_interval_ms);
    m_lastStepAt = now;
    return now >= m_stableAt;
}

std::vector<std::string> Coordinator::candidateMembers(TimePoint now) const
{
    std::vector<std::string> members;
    std::vector<std::string> nonDraining;
    for (const auto& key :
        m_gossip->recentKeys(memberKeyPrefix, milliseconds(m_settings.peer->member_timeout_ms), now)) {
        const auto entry = m_gossip->find(key);
        if (!entry)
            continue;
        members.push_back(key.substr(memberKeyPrefix.size()));
        if (!decodeMember(entry->payload).isDraining)
            nonDraining.push_back(members.back());
    }
    return nonDraining.empty() ? members : nonDraining;
}

Coordinator::VmsByPool Coordinator::coordinatedPools(const std::vector<VmInfo>& vms) const
{
    // Pools are assigned by rendezvous hashing over the members with a recent heartbeat.
    const auto candidates = candidateMembers(monotonicNow());
    VmsByPool pools;
    for (const auto& vm : vms) {
        if (vm.kind != VmKind::Node && vm.region == m_settings.node->region)
            pools[vm.pool].push_back(vm);
    }
    std::erase_if(
        pools, [&](const auto& pool) { return rendezvousOwner(pool.first, candidates) != m_settings.node->id; });
    return pools;
}

void Coordinator::publishServices(const std::vector<VmInfo>& vms)
{
    for (const auto& vm : vms) {
        TargetStatus status { vm.id, TargetKind::Service, vm.address, vm.pool, vm.failureDomain, "", vm.memoryBytes,
            vm.state == VmState::Leaving, vm.services };
        publishStatus(status, 1);
    }
}

void Coordinator::updateWorkers(const std::vector<VmInfo>& vms, const std::set<std::string>& coordinatedTargets)
{
    std::erase_if(m_unknownStateSince, [&](const auto& row) { return !coordinatedTargets.contains(row.first); });
    for (const auto& vm : vms) {
        if (!coordinatedTargets.contains(vm.id))
            continue;
        auto& worker = m_workers[vm.id];
        if (worker && worker->snapshot().vm.address != vm.address) {
            // The VM was replaced under the same id. The previous worker is removed once it has released ownership.
            worker->setActive(false);
            if (worker->snapshot().isOwned)
                continue;
            worker.reset();
        }
        if (!worker) {
            worker = std::make_unique<TargetWorker>(
                *m_store, *m_senderStatus, vm,
                TargetWorkerSettings { milliseconds(m_settings.placement->interval_ms),
                    milliseconds(m_settings.placement->order_timeout_ms) },
                [this](const TargetWorker& changed) { publishEngineStatus(changed); },
                [this](const PlacementOrder& order, bool isDone) {
                    if (isDone)
                        m_metrics->add(Metric::Moves, std::string(nameOf(order.kind)));
                    finishOrder(order);
                });
        }
        worker->setVm(vm);
        worker->setActive(true);
    }
    std::erase_if(m_workers, [&](const auto& row) {
        if (coordinatedTargets.contains(row.first))
            return false;
        row.second->setActive(false);
        const bool isListed = std::any_of(vms.begin(), vms.end(), [&](const auto& vm) { return vm.id == row.first; });
        return !isListed && !row.second->snapshot().isOwned;
    });
}

void Coordinator::renewPortionLeases(size_t coordinatedEngineCount, size_t totalEngineCount)
{
    if (coordinatedEngineCount == 0) {
        m_weightLoadLease.releaseLease();
        m_adapterLoadLease.releaseLease();
        return;
    }
    const auto renew = [&](PortionLease& portion, int32_t limit) {
        portion.renew(proportionalShare(limit, coordinatedEngineCount, totalEngineCount), static_cast<uint32_t>(limit));
    };
    renew(m_weightLoadLease, m_settings.platform->weight_loads_at_once);
    renew(m_adapterLoadLease, m_settings.platform->adapter_loads_at_once);
}

void Coordinator::placePool(const std::string& pool, const std::vector<VmInfo>& vms, const Plan& plan, TimePoint now)
{
    std::vector<TargetSnapshot> snapshots;
    bool isStateUnknown = false;
    for (const auto& vm : vms) {
        const auto worker = m_workers.find(vm.id);
        if (worker == m_workers.end())
            continue;
        auto snapshot = worker->second->snapshot();
        // Targets whose state is unknown are excluded from placement.
        if (snapshot.isOwned && snapshot.isReportCurrent) {
            m_unknownStateSince.erase(vm.id);
            snapshots.push_back(std::move(snapshot));
        } else {
            isStateUnknown |= now - m_unknownStateSince.try_emplace(vm.id, now).first->second < maxUnknownStateDelay;
        }
    }
    if (isStateUnknown)
        return;
    PlacementInput input { &plan, {}, m_demandPublisher->fleetDemand(now),
        { m_weightLoadLease.freeSlots(), m_adapterLoadLease.freeSlots() }, now };
    for (const auto& snapshot : snapshots) {
        input.targets.push_back({ snapshot.vm.id, snapshot.vm.failureDomain, snapshot.vm.memoryBytes,
            snapshot.isLeaving, &snapshot.ledger, snapshot.isOrderable });
    }
    auto& policy = m_policies.try_emplace(pool, makePolicy(m_settings.placement->policy)).first->second;
    const auto decision = decidePlacement(policy, input);
    auto& unplaced = m_loggedUnplaced[pool];
    if (unplaced != decision.unplaced) {
        for (const auto& artifact : decision.unplaced)
            logEvent(LogSeverity::Warning, "artifact_not_placed", { { "artifact", artifact }, { "pool", pool } });
        unplaced = decision.unplaced;
    }
    dispatchOrders(decision.orders);
}

void Coordinator::dispatchOrders(const std::vector<PlacementOrder>& orders)
{
    std::map<std::string, std::vector<PlacementOrder>> byTarget;
    std::set<std::string> targetsWithoutSlot;
    for (const auto& order : orders) {
        // Later orders for a target depend on the earlier ones.
        if (targetsWithoutSlot.contains(order.target))
            continue;
        if (order.kind == OrderKind::Load && !portionLeaseFor(order).tryAcquireSlot())
            targetsWithoutSlot.insert(order.target);
        else
            byTarget[order.target].push_back(order);
    }
    for (auto& [target, list] : byTarget)
        m_workers.at(target)->submit(std::move(list));
}

void Coordinator::finishOrder(const PlacementOrder& order)
{
    if (order.kind == OrderKind::Load)
        portionLeaseFor(order).releaseSlot();
    m_thread.wake();
}

PortionLease& Coordinator::portionLeaseFor(const PlacementOrder& order)
{
    return order.baseModel.empty() ? m_weightLoadLease : m_adapterLoadLease;
}

void Coordinator::publishEngineStatus(const TargetWorker& worker)
{
    // Taken under the lock, so that an older snapshot never replaces a newer one.
    std::lock_guard lock(m_publishMutex);
    const auto snapshot = worker.snapshot();
    // Only the owner has an up-to-date ledger.
    if (!snapshot.isOwned)
        return;
    TargetStatus status { snapshot.vm.id, TargetKind::Engine, snapshot.vm.address, snapshot.vm.pool,
        snapshot.vm.failureDomain, snapshot.ledger.instance(), snapshot.vm.memoryBytes, snapshot.isLeaving, {} };
    for (const auto& entry : snapshot.ledger.entries()) {
        if (snapshot.ledger.isReachable(entry.artifact))
            status.artifacts.push_back(entry.artifact);
    }
    publishStatus(status, snapshot.ledger.epoch());
}

void Coordinator::publishStatus(const TargetStatus& status, uint64_t epoch)
{
    const auto key = targetKeyPrefix + status.target;
    auto encoded = encodeTargetStatus(status);
    const auto current = m_gossip->find(key);
    if (current && (current->version.epoch > epoch || (current->version.epoch == epoch && current->payload == encoded)))
        return;
    m_gossip->publish(key, epoch, std::move(encoded), monotonicNow());
    m_directory->update(status);
}

} // namespace cyclamenstair

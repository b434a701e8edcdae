#pragma once

#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Node/TargetController.h>

#include <atomic>
#include <deque>
#include <functional>

namespace cyclamenstair {

/// What a worker knows about its target.
struct TargetSnapshot {
    VmInfo vm;
    bool isOwned { false }; ///< This node may order the target.
    bool isRead { false }; ///< Owned, and the last report that was asked for could be read.
    bool isOrderable { false }; ///< Owned, its report could be read, and no order is waiting or in progress.
    bool isLeaving { false }; ///< The VM list or the engine says so.
    TargetLedger ledger;
};

/// Settings of a TargetWorker.
struct TargetWorkerSettings {
    Duration interval { milliseconds(1000) }; ///< Time between two reports.
    Duration orderTimeout { milliseconds(30'000) };
};

/// Works on one target with its own threads, so that a slow target holds up no other: one thread keeps ownership, reads
/// the report and carries out orders, the other reads the engine's health, which an order in progress must not delay.
class TargetWorker {
public:
    /// Called by the worker's threads whenever its snapshot may have changed.
    using OnChange = std::function<void(const TargetWorker&)>;
    /// Called after each order, with whether it was carried out.
    using OnOrderEnd = std::function<void(const PlacementOrder&, bool isDone)>;

    TargetWorker(StoreClient& store, const SenderStatusResolver& evidence, const VmInfo& vm,
        TargetWorkerSettings settings, OnChange onChange, OnOrderEnd onOrderEnd);

    /// Tells the worker to own its target, or to give ownership back once the order in progress has ended.
    void setActive(bool isActive);

    /// Takes the VM's latest row of the VM list.
    void setVm(const VmInfo& vm);

    TargetSnapshot snapshot() const;

    /// Adds orders, which are carried out one after the other.
    void submit(std::vector<PlacementOrder> orders);

    /// Ends the threads after the order in progress; gives ownership back.
    void stop();

private:
    Duration step();
    Duration readHealth();
    void carryOutOrders();
    void dropOrders();
    std::optional<PlacementOrder> nextOrder();
    void updateSnapshot(bool isPrepared);
    void setRead(bool isRead);

    TargetWorkerSettings m_settings;
    std::string m_target;
    std::string m_address;
    OnChange m_onChange;
    OnOrderEnd m_onOrderEnd;
    TargetController m_operator;
    std::atomic<bool> m_isActive { false };
    std::atomic<bool> m_isStopping { false };
    mutable std::mutex m_mutex;
    TargetSnapshot m_snapshot;
    bool m_isLeavingInList { false };
    bool m_isLeavingByHealth { false };
    std::deque<PlacementOrder> m_orders;
    PeriodicThread m_healthThread;
    PeriodicThread m_thread; // Last, so that the threads start after and end before everything else.
};

} // namespace cyclamenstair

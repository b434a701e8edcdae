#pragma once

#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Node/TargetController.h>

#include <atomic>
#include <deque>
#include <functional>

namespace cyclamenstair {

/// State of a target as its worker last read it.
struct TargetSnapshot {
    VmInfo vm;
    bool isOwned { false }; ///< This node owns the target.
    bool isReportCurrent { false }; ///< Owned, and the last attempt to read the report succeeded.
    bool isOrderable { false }; ///< Owned, the report is current, and no order is queued or in progress.
    bool isLeaving { false }; ///< According to the VM list or the engine.
    TargetLedger ledger;
};

/// Settings of a TargetWorker.
struct TargetWorkerSettings {
    Duration reportInterval { milliseconds(1000) }; ///< Time between two report reads.
    Duration orderTimeout { milliseconds(30'000) };
};

/// Manages one target on its own threads, so that a slow target does not delay the others. One thread maintains
/// ownership, reads the report and executes orders; the other polls the engine's health, which an order in progress
/// must not delay.
class TargetWorker {
public:
    /// Called on the worker's threads whenever the snapshot may have changed.
    using OnChange = std::function<void(const TargetWorker&)>;
    /// Called after each order. `isDone` is false if the order failed or was discarded.
    using OnOrderFinished = std::function<void(const PlacementOrder&, bool isDone)>;

    TargetWorker(StoreClient& store, const SenderStatusResolver& senderStatus, const VmInfo& vm,
        TargetWorkerSettings settings, OnChange onChange, OnOrderFinished onOrderFinished);

    /// Sets whether the worker acquires ownership of its target, or releases it after the order in progress.
    void setActive(bool isActive);

    /// Updates the VM's state from the VM list.
    void setVm(const VmInfo& vm);

    TargetSnapshot snapshot() const;

    /// Queues orders for sequential execution.
    void submit(std::vector<PlacementOrder> orders);

    /// Completes the order in progress, stops the threads and releases ownership.
    void stop();

private:
    Duration step();
    Duration pollHealth();
    void executeOrders();
    void discardOrders();
    std::optional<PlacementOrder> popOrder();
    void updateSnapshot(bool isReconciled);
    void setReportCurrent(bool isReportCurrent);

    TargetWorkerSettings m_settings;
    std::string m_target;
    std::string m_address;
    OnChange m_onChange;
    OnOrderFinished m_onOrderFinished;
    TargetController m_controller;
    std::atomic<bool> m_isActive { false };
    std::atomic<bool> m_isStopping { false };
    mutable std::mutex m_mutex;
    TargetSnapshot m_snapshot;
    bool m_isLeavingInVmList { false };
    bool m_isLeavingInHealth { false };
    std::deque<PlacementOrder> m_queuedOrders;
    PeriodicThread m_healthThread;
    PeriodicThread m_thread; // Last member: starts after and stops before all others.
};

} // namespace cyclamenstair

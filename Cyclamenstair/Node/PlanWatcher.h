#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Node/PlanExchange.h>
#include <Cyclamenstair/Node/PlanRepository.h>

#include <atomic>
#include <stop_token>

namespace cyclamenstair {

/// Watches the plan's head in the store and installs newer plans.
///
/// The head is also read whenever the watch ends, so a watch that misses a change only delays the plan. Until then the
/// plan is fetched from peers.
class PlanWatcher {
public:
    /// Maximum duration of a watch, and thus the maximum interval between two reads of the head. Two calls in 10 s use
    /// 0.2 of the 0.5 store calls/s that are the limit for an idle node.
    static constexpr Duration maxWatchDuration = milliseconds(10000);

    PlanWatcher(StoreClient& store, PlanExchange& planExchange, const ActivePlan& activePlan, Duration watchDuration);

    ~PlanWatcher();

    /// Cancels the current watch and stops the thread.
    void stop();

    /// Returns whether the last call to the store succeeded.
    bool isStoreReachable() const { return m_isStoreReachable; }

private:
    Duration step();
    bool readPlan(const PlanHead& head);

    StoreClient* m_store;
    PlanRepository m_repository;
    PlanExchange* m_planExchange;
    const ActivePlan* m_activePlan;
    Duration m_watchDuration;
    Random m_random;
    std::stop_source m_stopSource;
    std::atomic<bool> m_isStoreReachable { false };
    PeriodicThread m_thread;
};

} // namespace cyclamenstair

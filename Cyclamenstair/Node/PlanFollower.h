#pragma once

#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Node/PlanRepository.h>
#include <Cyclamenstair/Plan/PlanRegister.h>

#include <atomic>
#include <stop_token>

namespace cyclamenstair {

/// Watches the plan's head in the store and puts newer plans in force.
class PlanFollower {
public:
    PlanFollower(StoreClient& store, PlanRegister& plans, Duration watchTime);

    ~PlanFollower();

    /// Ends the present watch and the follower's thread.
    void stop();

    /// Returns whether the last call to the store succeeded.
    bool isStoreReachable() const { return m_isStoreReachable; }

private:
    Duration step();

    StoreClient* m_store;
    PlanRepository m_repository;
    PlanRegister* m_plans;
    Duration m_watchTime;
    std::stop_source m_stop;
    std::atomic<bool> m_isStoreReachable { false };
    PeriodicThread m_thread;
};

} // namespace cyclamenstair

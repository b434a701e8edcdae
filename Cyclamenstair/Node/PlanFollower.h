#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Node/PlanExchange.h>
#include <Cyclamenstair/Node/PlanRepository.h>

#include <atomic>
#include <stop_token>

namespace cyclamenstair {

/// Watches the plan's head in the store and puts newer plans in force.
///
/// The head is also read each time that the watch ends, so that a watch that never reports only delays the plan. Until
/// then it comes from peers.
class PlanFollower {
public:
    /// Longest time of a watch, and so between two reads of the head. Two calls in 10 s are 0.2 of the 0.5 calls/s that
    /// an idle node may make.
    static constexpr Duration maxWatchTime = milliseconds(10000);

    PlanFollower(StoreClient& store, PlanExchange& plans, const ActivePlan& inForce, Duration watchTime);

    ~PlanFollower();

    /// Ends the present watch and the follower's thread.
    void stop();

    /// Returns whether the last call to the store succeeded.
    bool isStoreReachable() const { return m_isStoreReachable; }

private:
    Duration step();
    bool readPlan(const PlanHead& head);

    StoreClient* m_store;
    PlanRepository m_repository;
    PlanExchange* m_plans;
    const ActivePlan* m_inForce;
    Duration m_watchTime;
    Random m_random;
    std::stop_source m_stop;
    std::atomic<bool> m_isStoreReachable { false };
    PeriodicThread m_thread;
};

} // namespace cyclamenstair

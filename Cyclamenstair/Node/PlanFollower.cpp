#include <Cyclamenstair/Node/PlanFollower.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// After a change the nodes wait a random part of this time before they read it, because most of them get it from a
    /// peer meanwhile. Otherwise each change costs the store a read from every node.
    constexpr Duration peersFirst = milliseconds(200);

    /// Pause after a failure, which keeps a node below its share of calls while the store is down.
    constexpr Duration pauseWithoutStore = milliseconds(2500);

} // namespace

PlanFollower::PlanFollower(StoreClient& store, PlanExchange& plans, const ActivePlan& inForce, Duration watchTime)
    : m_store(&store)
    , m_repository(store)
    , m_plans(&plans)
    , m_inForce(&inForce)
    , m_watchTime(std::min(watchTime, maxWatchTime))
    , m_random(std::random_device {}())
    , m_thread("plan_follower", [this] { return step(); })
{
}

PlanFollower::~PlanFollower() { stop(); }

void PlanFollower::stop()
{
    m_stop.request_stop();
    m_thread.stop();
}

Duration PlanFollower::step()
{
    const auto head = m_repository.readHead();
    m_isStoreReachable = head.has_value();
    if (!head || !readPlan(head->first))
        return pauseWithoutStore;
    const auto startedAt = monotonicNow();
    if (m_store->waitForChange(PlanRepository::headKey, head->second, m_watchTime, m_stop.get_token()))
        return Duration(0);
    // A watch that ends early has failed; the pause keeps a store that refuses watches from being called without end.
    return monotonicNow() - startedAt < m_watchTime / 2 ? pauseWithoutStore : Duration(0);
}

bool PlanFollower::readPlan(const PlanHead& head)
{
    const bool hasPlan = m_inForce->revision() > 0;
    if (head.revision <= m_plans->revision())
        return true;
    if (hasPlan) {
        const auto wait = Duration(static_cast<int64_t>(randomIndex(m_random, peersFirst.count())));
        if (m_inForce->waitForRevisionAbove(head.revision - 1, wait) >= head.revision)
            return true;
    }
    const auto known = m_plans->latest();
    auto plan = m_repository.readPlan(head, known.get());
    if (!plan)
        return false;
    m_plans->install(std::move(*plan), "store");
    return true;
}

} // namespace cyclamenstair

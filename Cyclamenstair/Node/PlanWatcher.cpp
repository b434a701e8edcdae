#include <Cyclamenstair/Node/PlanWatcher.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// After a change, each node waits for a random part of this time before it reads the plan from the store. Most
    /// nodes receive the plan from a peer in that time; otherwise every node would read each change from the store.
    constexpr Duration maxPeerWait = milliseconds(200);

    /// Delay after a store failure. Keeps the node below its call rate limit while the store is unavailable.
    constexpr Duration storeFailureBackoff = milliseconds(2500);

} // namespace

PlanWatcher::PlanWatcher(
    StoreClient& store, PlanExchange& planExchange, const ActivePlan& activePlan, Duration watchDuration)
    : m_store(&store)
    , m_repository(store)
    , m_planExchange(&planExchange)
    , m_activePlan(&activePlan)
    , m_watchDuration(std::min(watchDuration, maxWatchDuration))
    , m_random(std::random_device {}())
    , m_thread("plan_follower", [this] { return step(); })
{
}

PlanWatcher::~PlanWatcher() { stop(); }

void PlanWatcher::stop()
{
    m_stopSource.request_stop();
    m_thread.stop();
}

Duration PlanWatcher::step()
{
    const auto head = m_repository.readHead();
    m_isStoreReachable = head.has_value();
    if (!head || !readPlan(head->first))
        return storeFailureBackoff;
    const auto watchStartedAt = monotonicNow();
    if (m_store->waitForChange(PlanRepository::headKey, head->second, m_watchDuration, m_stopSource.get_token()))
        return Duration(0);
    // A watch that ends early has failed. The delay limits the call rate on a store that rejects watches.
    return monotonicNow() - watchStartedAt < m_watchDuration / 2 ? storeFailureBackoff : Duration(0);
}

bool PlanWatcher::readPlan(const PlanHead& head)
{
    const bool hasActivePlan = m_activePlan->revision() > 0;
    if (head.revision <= m_planExchange->stagedRevision())
        return true;
    if (hasActivePlan) {
        const auto peerWait = Duration(static_cast<int64_t>(randomIndex(m_random, maxPeerWait.count())));
        if (m_activePlan->waitForRevisionAbove(head.revision - 1, peerWait) >= head.revision)
            return true;
    }
    const auto stagedPlan = m_planExchange->stagedPlan();
    auto plan = m_repository.readPlan(head, stagedPlan.get());
    if (!plan)
        return false;
    m_planExchange->install(std::move(*plan), "store");
    return true;
}

} // namespace cyclamenstair

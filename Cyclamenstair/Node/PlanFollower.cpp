#include <Cyclamenstair/Node/PlanFollower.h>

#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

namespace {

    constexpr Duration pauseWithoutStore = milliseconds(1000);

} // namespace

PlanFollower::PlanFollower(StoreClient& store, PlanRegister& plans, Duration watchTime)
    : m_store(&store)
    , m_repository(store)
    , m_plans(&plans)
    , m_watchTime(watchTime)
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
    if (!head)
        return pauseWithoutStore;
    if (head->first.revision > m_plans->revision()) {
        auto plan = m_repository.readPlan(head->first);
        if (!plan)
            return pauseWithoutStore;
        if (m_plans->offer(std::move(*plan)))
            logEvent(LogSeverity::Info, "plan_in_force",
                { { "revision", std::to_string(head->first.revision) }, { "source", "store" } });
    }
    const auto startedAt = monotonicNow();
    if (m_store->waitForChange(PlanRepository::headKey, head->second, m_watchTime, m_stop.get_token()))
        return Duration(0);
    // A watch that ends early has failed; the pause keeps a store that refuses watches from being called without end.
    return monotonicNow() - startedAt < m_watchTime / 2 ? pauseWithoutStore : Duration(0);
}

} // namespace cyclamenstair

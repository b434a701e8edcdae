#include <Cyclamenstair/Plan/ActivePlan.h>

namespace cyclamenstair {

bool ActivePlan::activateIfNewer(Plan plan)
{
    std::lock_guard lock(m_mutex);
    if (m_plan && plan.revision <= m_plan->revision)
        return false;
    m_plan = std::make_shared<const Plan>(std::move(plan));
    m_changed.notify_all();
    return true;
}

std::shared_ptr<const Plan> ActivePlan::plan() const
{
    std::lock_guard lock(m_mutex);
    return m_plan;
}

uint64_t ActivePlan::revision() const
{
    std::lock_guard lock(m_mutex);
    return m_plan ? m_plan->revision : 0;
}

uint64_t ActivePlan::waitForRevisionAbove(uint64_t revision, Duration timeout) const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [&] { return m_plan && m_plan->revision > revision; });
    return m_plan ? m_plan->revision : 0;
}

} // namespace cyclamenstair

#include <Cyclamenstair/Entry/EntryState.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair {

namespace {

    /// Part of the allowance for extra attempts that is used, as attempts of one node may arrive within a window that
    /// is not the one in which they were counted.
    constexpr double retryMargin = 0.9;

    RetryAllowance allowanceOf(const schema::EntrySettingsT& entry)
    {
        // Half of it may come at once, the other half over the window.
        const double slack = retryMargin * entry.retry_slack;
        return { retryMargin * entry.retry_ratio, slack / 2 / entry.retry_window_s, slack / 2 };
    }

    /// The allowance holds for each service; in all there is no further bound.
    constexpr RetryAllowance unboundedTotal { 1, 1e6, 1e6 };

} // namespace

EntryState::EntryState(const schema::SettingsT& settings)
    : nodeId(settings.node->id)
    , targets(TargetRegistrySettings { .failureDomain = settings.node->failure_domain })
    , retries(allowanceOf(*settings.entry), unboundedTotal)
    , m_leastNodes(static_cast<uint32_t>(settings.entry->retry_nodes))
{
    noteNodes(0);
}

void EntryState::noteNodes(size_t known)
{
    // Nodes that are about to join use their part before they are seen here.
    constexpr double joiningShare = 1.25;
    const auto nodes = static_cast<uint32_t>(std::ceil(static_cast<double>(known) * joiningShare));
    retries.setNodeCount(std::max(m_leastNodes, nodes));
}

} // namespace cyclamenstair

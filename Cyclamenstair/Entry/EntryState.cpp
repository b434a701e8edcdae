#include <Cyclamenstair/Entry/EntryState.h>

namespace cyclamenstair {

namespace {

    /// Part of the allowance for extra attempts that is used, as attempts of one node may arrive within a window that
    /// is not the one in which they were counted.
    constexpr double retryMargin = 0.9;

    RetryAllowance allowanceOf(const schema::EntrySettingsT& entry)
    {
        // Half of a node's part may come at once, the other half over the window.
        const double slack = retryMargin * entry.retry_slack / entry.retry_nodes;
        return { retryMargin * entry.retry_ratio, slack / 2 / entry.retry_window_s, std::max(1.0, slack / 2) };
    }

    /// The allowance holds for each service; in all there is no further bound.
    constexpr RetryAllowance unboundedTotal { 1, 1e6, 1e6 };

} // namespace

EntryState::EntryState(const schema::SettingsT& settings)
    : nodeId(settings.node->id)
    , targets(TargetRegistrySettings { .failureDomain = settings.node->failure_domain })
    , retries(allowanceOf(*settings.entry), unboundedTotal)
{
}

} // namespace cyclamenstair

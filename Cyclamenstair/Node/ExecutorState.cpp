#include <Cyclamenstair/Node/ExecutorState.h>

namespace cyclamenstair {

namespace {

    RoutingPolicy makeRoutingPolicy(schema::RoutingPolicyKind kind)
    {
        switch (kind) {
        case schema::RoutingPolicyKind::RoundRobin:
            return RoundRobinPolicy {};
        case schema::RoutingPolicyKind::LeastInFlight:
            return LeastInFlightPolicy {};
        case schema::RoutingPolicyKind::Weighted:
            break;
        }
        return WeightedPolicy {};
    }

    WorkEstimatorSettings makeEstimatorSettings(const schema::SettingsT& settings)
    {
        WorkEstimatorSettings result;
        result.longWorkTokens = settings.request->long_work_tokens;
        return result;
    }

    HedgeBudgetSettings makeHedgeBudgetSettings(const schema::SettingsT& settings)
    {
        HedgeBudgetSettings result;
        result.share = settings.routing->extra_attempt_share;
        return result;
    }

} // namespace

ExecutorState::ExecutorState(const schema::SettingsT& nodeSettings, const TargetDirectory& targetDirectory)
    : settings(nodeSettings)
    , directory(&targetDirectory)
    , estimator(makeEstimatorSettings(nodeSettings))
    , hedgeBudget(makeHedgeBudgetSettings(nodeSettings))
    , router(makeRoutingPolicy(nodeSettings.routing->policy), targets, detector)
{
}

Random& threadRandom()
{
    thread_local Random s_random(std::random_device {}());
    return s_random;
}

} // namespace cyclamenstair

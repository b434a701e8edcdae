#include <Cyclamenstair/Node/RequestPathState.h>

namespace cyclamenstair {

namespace {

    RoutingPolicy policyFrom(schema::RoutingPolicyKind kind)
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

    WorkEstimatorSettings estimatorSettings(const schema::SettingsT& settings)
    {
        WorkEstimatorSettings result;
        result.longWorkTokens = settings.request->long_work_tokens;
        return result;
    }

    HedgeBudgetSettings hedgeSettings(const schema::SettingsT& settings)
    {
        HedgeBudgetSettings result;
        result.share = settings.routing->extra_attempt_share;
        return result;
    }

} // namespace

RequestPathState::RequestPathState(const schema::SettingsT& nodeSettings, const TargetDirectory& targetDirectory)
    : settings(nodeSettings)
    , directory(&targetDirectory)
    , estimator(estimatorSettings(nodeSettings))
    , hedgeBudget(hedgeSettings(nodeSettings))
    , router(policyFrom(nodeSettings.routing->policy), targets, detector)
{
}

Random& threadRandom()
{
    thread_local Random s_random(std::random_device {}());
    return s_random;
}

} // namespace cyclamenstair

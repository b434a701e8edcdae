#pragma once

#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Node/TargetDirectory.h>
#include <Cyclamenstair/Routing/HedgeBudget.h>
#include <Cyclamenstair/Routing/RetryBudget.h>
#include <Cyclamenstair/Routing/Router.h>
#include <Cyclamenstair/Routing/WorkEstimator.h>
#include <Cyclamenstair/Transport/AttemptThreadPool.h>

namespace cyclamenstair {

/// State shared by all requests of a RequestExecutor: observations, budgets and threads. Each member is callable from
/// many threads.
struct ExecutorState {
    ExecutorState(const schema::SettingsT& nodeSettings, const TargetDirectory& targetDirectory);

    schema::SettingsT settings;
    const TargetDirectory* directory;
    TargetTable targets;
    StragglerDetector detector;
    WorkEstimator estimator;
    RetryBudget retryBudget;
    HedgeBudget hedgeBudget;
    Router router;
    AttemptThreadPool threads; ///< Last member, so that its threads end before the other members are destroyed.
};

/// Returns the random number generator of the calling thread.
Random& threadRandom();

} // namespace cyclamenstair

#pragma once

#include <Benchmarks/Soak/DayDeployment.h>

namespace cyclamenstair {

/// Checks the tries of the callers against the runs of the targets: bodies, streams, and how often requests ran.
void checkTries(DayDeployment& deployment);

/// Checks that each node, and all together, served requests in all spans without disturbance.
void checkService(DayDeployment& deployment, TimePoint begin, TimePoint end);

/// Checks the share of the requests that are served some time after the closing fault.
void checkRecovery(DayDeployment& deployment, TimePoint closingFaultAt, TimePoint end);

/// Checks the orders that engines accepted.
void checkOrders(DayDeployment& deployment);

} // namespace cyclamenstair

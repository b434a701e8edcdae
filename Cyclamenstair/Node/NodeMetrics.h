#pragma once

#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/Request.h>
#include <Cyclamenstair/Node/TargetDirectory.h>
#include <Cyclamenstair/Plan/ActivePlan.h>
#include <Cyclamenstair/Store/StoreClient.h>
#include <Cyclamenstair/Telemetry/Metrics.h>

namespace cyclamenstair {

/// Records what callers see and collects the node's gauges. Callable from many threads.
class NodeMetrics {
public:
    NodeMetrics(Metrics& metrics, const StoreClient& store, const ActivePlan& plans, const GossipTable& gossip,
        const TargetDirectory& directory, Duration memberTimeout);

    /// The request left the node's queue.
    void recordAdmitted(const Request& request);

    /// The first byte of the answer is there.
    void recordFirstByte(const Request& request);

    /// The whole answer was passed on.
    void recordComplete(const Request& request);

    /// The request failed; refusals are counted by the step that refused.
    void recordFailure(RequestOutcome outcome, const Error& error);

    /// Returns all metrics in the Prometheus text format.
    std::string text(int callsInProgress);

private:
    Metrics* m_metrics;
    const StoreClient* m_store;
    const ActivePlan* m_plans;
    const GossipTable* m_gossip;
    const TargetDirectory* m_directory;
    Duration m_memberTimeout;
};

} // namespace cyclamenstair

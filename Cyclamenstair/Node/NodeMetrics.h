#pragma once

#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/Request.h>
#include <Cyclamenstair/Node/TargetDirectory.h>
#include <Cyclamenstair/Plan/ActivePlan.h>
#include <Cyclamenstair/Store/StoreClient.h>
#include <Cyclamenstair/Telemetry/Metrics.h>

namespace cyclamenstair {

/// Records request outcomes and durations as callers experience them and collects the node's gauges. Callable from many
/// threads.
class NodeMetrics {
public:
    NodeMetrics(Metrics& metrics, const StoreClient& store, const ActivePlan& plans, const GossipTable& gossip,
        const TargetDirectory& directory, Duration memberTimeout);

    /// Records that the request left the admission queue, with its queueing time.
    void recordAdmitted(const Request& request);

    /// Records that the first byte of the response arrived, with the time since the request's arrival.
    void recordFirstByte(const Request& request);

    /// Records that the complete response was delivered, with its duration and whether it met the response window.
    void recordComplete(const Request& request);

    /// Records a failed request. Requests that did not run are also counted as refusals, by error step.
    void recordFailure(RequestOutcome outcome, const Error& error);

    /// Returns all metrics in the Prometheus text format.
    std::string prometheusText(int requestsInProgress);

private:
    Metrics* m_metrics;
    const StoreClient* m_store;
    const ActivePlan* m_plans;
    const GossipTable* m_gossip;
    const TargetDirectory* m_directory;
    Duration m_memberTimeout;
};

} // namespace cyclamenstair

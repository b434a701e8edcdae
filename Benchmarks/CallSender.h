#pragma once

#include <Benchmarks/RequestMix.h>
#include <Tests/Support/HistoryChecker.h>

#include <string>
#include <vector>

namespace cyclamenstair::load {

/// What happened to a planned call.
struct CallResult {
    testing::ObservedRequest record;
    double latencyMs { 0 }; ///< From the intended arrival to the end of the answer.
    int status { 0 };
};

/// Sends calls as the callers of a deployment and reads the answers.
class CallSender {
public:
    /// `addresses` are those of the nodes, or of one target for direct calls.
    CallSender(const Deployment& deployment, std::vector<std::string> addresses)
        : m_deployment(&deployment)
        , m_addresses(std::move(addresses))
    {
    }

    /// Sends the call to one of the addresses over a connection of its own, as through a load balancer.
    CallResult send(const PlannedCall& call) const;

    /// Sends all calls at their intended arrivals by a pool of threads. Latency counts from the intended arrival, so
    /// that a busy pool makes calls late instead of fewer. A call whose window has passed before a thread is free is
    /// not sent, as by a caller that gave up.
    std::vector<CallResult> sendAll(const std::vector<PlannedCall>& calls, size_t threads) const;

private:
    const Deployment* m_deployment;
    std::vector<std::string> m_addresses;
};

} // namespace cyclamenstair::load

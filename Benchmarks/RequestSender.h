#pragma once

#include <Benchmarks/RequestMix.h>
#include <Tests/Support/HistoryChecker.h>

#include <string>
#include <vector>

namespace cyclamenstair::load {

/// Result of a planned request.
struct RequestResult {
    testing::ObservedRequest record;
    double latencyMs { 0 }; ///< From the planned arrival to the end of the response.
    int status { 0 }; ///< HTTP status; 0 without a response.
};

/// Sends requests on behalf of a deployment's callers and reads the responses. Thread-safe.
class RequestSender {
public:
    /// `addresses` are the addresses of the nodes, or of one target for direct requests.
    RequestSender(const Deployment& deployment, std::vector<std::string> addresses)
        : m_deployment(&deployment)
        , m_addresses(std::move(addresses))
    {
    }

    /// Sends the request to one of the addresses over a new connection, as a load balancer would.
    RequestResult send(const PlannedRequest& request) const;

    /// Sends all requests at their planned arrivals from a pool of threads. Latency counts from the planned arrival, so
    /// that an overloaded pool delays requests instead of lowering the rate. A request whose caller window has passed
    /// before a thread is free is not sent, as if the caller had timed out.
    std::vector<RequestResult> sendAll(const std::vector<PlannedRequest>& requests, size_t threads) const;

private:
    const Deployment* m_deployment;
    std::vector<std::string> m_addresses;
};

} // namespace cyclamenstair::load

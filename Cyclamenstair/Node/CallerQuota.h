#pragma once

#include <Cyclamenstair/Admission/CallerLimiter.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Plan/Plan.h>

namespace cyclamenstair {

/// Enforces the callers' request rates from the plan and exchanges their demands with the other nodes by gossip.
/// Callable from many threads.
class CallerQuota {
public:
    CallerQuota(std::string node, GossipTable& gossip);

    /// Consumes one request of the caller's rate. Returns the time to wait if the rate is exhausted, else no value.
    std::optional<Duration> consumeOrGetDelay(const CallerSpec& caller, size_t liveNodes);

    void stop() { m_thread.stop(); }

private:
    /// Publishes the local demands and reads those of other nodes. Returns the time until the next exchange.
    Duration exchangeDemands();

    std::string m_gossipKey; ///< Gossip key of this node's demands.
    uint64_t m_epoch; ///< Start time of this process in Unix microseconds, so that its entries replace those of earlier
                      ///< ones.
    GossipTable* m_gossip;
    CallerLimiter m_limiter;
    bool m_hasPublishedDemands { false };
    PeriodicThread m_thread;
};

} // namespace cyclamenstair

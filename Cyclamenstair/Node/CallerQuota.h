#pragma once

#include <Cyclamenstair/Admission/CallerLimiter.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Plan/Plan.h>

namespace cyclamenstair {

/// Keeps callers to the plan's rates and exchanges their demands with the other nodes by gossip.
class CallerQuota {
public:
    CallerQuota(std::string node, GossipTable& gossip);

    /// Takes one request from the caller's rate; returns the time to wait if it is used up.
    std::optional<Duration> take(const CallerSpec& caller, size_t liveNodes);

    void stop() { m_thread.stop(); }

private:
    Duration exchangeDemands();

    std::string m_key; ///< Gossip key of this node's demands.
    uint64_t m_epoch; ///< Start time of this process, which orders its entries after those of earlier ones.
    GossipTable* m_gossip;
    CallerLimiter m_limiter;
    bool m_hasPublished { false };
    PeriodicThread m_thread;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Routing/RouteQuery.h>

#include <string>
#include <unordered_map>

namespace cyclamenstair {

/// Load of one target as observed by this node.
struct TargetLoad {
    uint32_t inFlight { 0 }; ///< Attempts of this node that have not ended.
    uint32_t longInFlight { 0 }; ///< Attempts in flight with long work.
    double tokensInFlight { 0 }; ///< Expected tokens of the attempts in flight.
    uint64_t succeeded { 0 };
    uint64_t failed { 0 };
    uint32_t consecutiveFailures { 0 };
    TimePoint lastFailureAt; ///< Time of the last failure or refusal.
    double reportedByOtherNodes { 0 }; ///< Other nodes' requests according to the last load report.
    TimePoint reportedAt;
    bool hasReport { false };
};

/// Load of all targets as observed by this node, by target id. Thread-safe.
class TargetTable {
public:
    /// Records that an attempt was sent to the target.
    void beginAttempt(const std::string& target, const AttemptWork& work = {});

    /// Records the attempt unless it is long and the target already has `maxLong` long attempts of this node. Returns
    /// true if it was recorded. The check and the record are atomic, so that concurrent requests cannot exceed the
    /// bound.
    bool tryBeginAttempt(const std::string& target, const AttemptWork& work, uint32_t maxLong);

    /// Records that an attempt ended. `work` is that passed when the attempt began.
    void endAttempt(const std::string& target, bool isSuccess, const AttemptWork& work = {}, TimePoint now = {});

    /// Records that an attempt was cancelled, which counts neither as a success nor as a failure of the target.
    void cancelAttempt(const std::string& target, const AttemptWork& work);

    /// Records the load report of a response: the number of requests running or queued at the target, including those
    /// of this node.
    void recordLoadReport(const std::string& target, double load, TimePoint now);

    TargetLoad load(const std::string& target) const;

private:
    using Loads = std::unordered_map<std::string, TargetLoad>;

    static void addWork(TargetLoad& load, const AttemptWork& work);
    static void removeWork(TargetLoad& load, const AttemptWork& work);

    Sharded<std::string, Loads> m_shards;
};

} // namespace cyclamenstair

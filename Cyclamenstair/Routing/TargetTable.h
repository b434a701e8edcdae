#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Routing/RouteQuery.h>

#include <string>
#include <unordered_map>

namespace cyclamenstair {

/// This node's own observations of one target.
struct TargetLoad {
    uint32_t inFlight { 0 }; ///< Attempts of this node that the target is working on.
    uint32_t longInFlight { 0 }; ///< Attempts among them whose work is long.
    double tokensInFlight { 0 }; ///< Expected tokens of the attempts in flight.
    uint64_t finished { 0 };
    uint64_t failed { 0 };
    uint32_t failuresInARow { 0 };
    TimePoint lastFailure; ///< Last failure or refusal.
    double reportedByOthers { 0 }; ///< Requests of other nodes in the last load report.
    TimePoint reportedAt;
    bool hasReport { false };
};

/// Own observations of all targets, by target id. Callable from many threads.
class TargetTable {
public:
    /// Records that an attempt was sent to the target.
    void beginAttempt(const std::string& target, const AttemptWork& work = {});

    /// Records the attempt unless it is long and the target already has `maxLong` long attempts of this node. Returns
    /// whether it was recorded. Check and record are one step, so that concurrent requests cannot pass the bound.
    bool tryBeginAttempt(const std::string& target, const AttemptWork& work, uint32_t maxLong);

    /// Records that an attempt ended, with the work that was given at its begin.
    void endAttempt(const std::string& target, bool isSuccess, const AttemptWork& work = {}, TimePoint now = {});

    /// Records that an attempt was cancelled, which says nothing about the target.
    void cancelAttempt(const std::string& target, const AttemptWork& work);

    /// Takes the late load report that came with an answer: requests running or waiting at the target, this node's own
    /// included.
    void report(const std::string& target, double load, TimePoint now);

    TargetLoad load(const std::string& target) const;

private:
    using Loads = std::unordered_map<std::string, TargetLoad>;

    static void add(TargetLoad& load, const AttemptWork& work);
    static void remove(TargetLoad& load, const AttemptWork& work);

    Sharded<std::string, Loads> m_shards;
};

} // namespace cyclamenstair

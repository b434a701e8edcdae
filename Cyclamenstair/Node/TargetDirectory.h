#pragma once

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>
#include <Cyclamenstair/Routing/RoutingPolicy.h>

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenstair {

/// Targets as published by the coordinators, indexed by artifact. Callable from many threads.
class TargetDirectory {
public:
    /// Stores the latest published status of a target.
    void update(const TargetStatus& status);

    /// Replaces the set of targets that the VM list shows as leaving. They count as leaving before their coordinator
    /// publishes it.
    void setLeavingTargets(const std::vector<std::string>& targets);

    /// Returns the targets for requests for `artifact`: those that have it loaded and are not leaving. If there are
    /// none, returns those that started to leave within the grace period, so that their coordinator has time to load
    /// the artifact elsewhere.
    std::vector<RouteCandidate> candidates(const std::string& artifact) const;

    /// Returns all known targets, sorted by id.
    std::vector<TargetStatus> targets() const;

private:
    using Statuses = std::map<std::string, TargetStatus>;
    using Index = std::unordered_map<std::string, std::map<std::string, RouteCandidate>>;

    /// A leaving target and the time at which it was first reported as leaving.
    struct LeavingTarget {
        RouteCandidate candidate;
        TimePoint leavingSince;
    };
    using LeavingIndex = std::unordered_map<std::string, std::map<std::string, LeavingTarget>>;

    /// Updates the effective status and the indexes. Marks the target as leaving if the VM list shows it as leaving.
    void apply(const TargetStatus& status);
    void removeFromIndex(const TargetStatus& status);
    std::vector<RouteCandidate> recentlyLeaving(const std::string& artifact) const;

    Sharded<std::string, Statuses> m_publishedStatuses; ///< By target, as published by the coordinators.
    Sharded<std::string, Statuses> m_effectiveStatuses; ///< By target, combined with the VM list.
    Sharded<std::string, Index> m_index; ///< By artifact, then target.
    Sharded<std::string, LeavingIndex> m_leavingIndex; ///< By artifact, then target.
    Sharded<std::string, std::set<std::string>> m_leavingInVmList; ///< Targets that the VM list shows as leaving.
};

} // namespace cyclamenstair

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
    /// Takes the latest status of a target.
    void update(const TargetStatus& status);

    /// Takes the targets that the VM list shows as leaving, before their coordinator publishes it.
    void markLeaving(const std::vector<std::string>& targets);

    /// Returns the targets that requests for `artifact` may be sent to: they hold it and are not leaving. While no such
    /// target is known, those that began to leave a moment ago are returned, so that their coordinator has time to
    /// load the artifact elsewhere.
    std::vector<RouteCandidate> candidates(const std::string& artifact) const;

    /// Returns all known targets, sorted by id.
    std::vector<TargetStatus> targets() const;

private:
    using Statuses = std::map<std::string, TargetStatus>;
    using Index = std::unordered_map<std::string, std::map<std::string, RouteCandidate>>;

    /// Targets that hold an artifact; those that are leaving with the time at which that became known.
    struct Leaving {
        RouteCandidate candidate;
        TimePoint since;
    };
    using LeavingIndex = std::unordered_map<std::string, std::map<std::string, Leaving>>;

    void removeFromIndex(const TargetStatus& status);
    std::vector<RouteCandidate> recentlyLeaving(const std::string& artifact) const;

    Sharded<std::string, Statuses> m_statuses; ///< By target.
    Sharded<std::string, Index> m_index; ///< By artifact, then target.
    Sharded<std::string, LeavingIndex> m_leavingIndex; ///< By artifact, then target.
    Sharded<std::string, std::set<std::string>> m_listedAsLeaving; ///< Targets that the VM list shows as leaving.
};

} // namespace cyclamenstair

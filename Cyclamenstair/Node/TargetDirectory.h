#pragma once

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Routing/RoutingPolicy.h>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenstair {

/// Targets as published by the coordinators, indexed by artifact. Callable from many threads.
class TargetDirectory {
public:
    /// Takes the latest status of a target.
    void update(const TargetStatus& status);

    /// Marks targets as leaving that the VM list shows as such, before their coordinator publishes it.
    void markLeaving(const std::vector<std::string>& targets);

    /// Returns the targets that requests for `artifact` may be sent to: they hold it and are not leaving.
    std::vector<RouteCandidate> candidates(const std::string& artifact) const;

    /// Returns all known targets, sorted by id.
    std::vector<TargetStatus> targets() const;

private:
    using Statuses = std::map<std::string, TargetStatus>;
    using Index = std::unordered_map<std::string, std::map<std::string, RouteCandidate>>;

    void removeFromIndex(const TargetStatus& status);

    Sharded<std::string, Statuses> m_statuses; ///< By target.
    Sharded<std::string, Index> m_index; ///< By artifact, then target.
};

} // namespace cyclamenstair

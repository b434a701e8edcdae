#pragma once

#include <Cyclamenstair/Fleet/DemandCounter.h>

#include <string_view>

namespace cyclamenstair {

/// What a node tells the holder of the order lease.
struct NodeStatus {
    std::string node;
    std::map<ArtifactKey, ArtifactLoad> demands;
};

/// Returns the status as a store value.
std::string encodeNodeStatus(const NodeStatus& status);

/// Throws Exception on malformed input.
NodeStatus decodeNodeStatus(std::string_view bytes);

} // namespace cyclamenstair

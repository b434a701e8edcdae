#pragma once

#include <Cyclamenstair/Fleet/DemandCounter.h>
#include <Cyclamenstair/Fleet/TargetRecord.h>

#include <string_view>
#include <variant>
#include <vector>

namespace cyclamenstair {

/// What a node has in flight at each target, and its demand.
struct LoadShare {
    std::string node;
    std::map<std::string, TargetWorkload> loads; ///< By target id.
    std::map<ArtifactKey, ArtifactWorkload> demands; ///< Sent to the holder of the order lease only.
    InFlightByTargetAndModel modelRuns; ///< Sent to the holder of the order lease only.

    bool operator==(const LoadShare&) const = default;
};

/// Asks for a Snapshot.
struct SnapshotRequest {
    std::string node;
};

/// A target's entry as it stands in the store.
struct TargetEntry {
    std::string id;
    std::string entry;
    int64_t revision { 0 };
};

/// What a node has read from the store, for one that starts while the store is away.
struct Snapshot {
    std::string catalog; ///< As the operator wrote it; empty if it is not known.
    std::vector<TargetEntry> targets;
    bool areTargetsKnown { false };
};

/// What a target holds after an order, from the node that gave it. It reaches the other nodes sooner than the target's
/// entry in the store.
struct ResidencyNotice {
    std::string target;
    std::string service;
    std::vector<LoadedModel> models;
};

using EntryMessage = std::variant<LoadShare, SnapshotRequest, Snapshot, ResidencyNotice>;

/// Returns the bytes of a message between nodes.
std::string encodeEntryMessage(const EntryMessage& message);

/// Throws Exception on malformed input.
EntryMessage decodeEntryMessage(std::string_view bytes);

} // namespace cyclamenstair

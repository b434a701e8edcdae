#pragma once

#include <Cyclamenstair/Admission/AllotmentLimiter.h>
#include <Cyclamenstair/Fleet/DemandCounter.h>
#include <Cyclamenstair/Fleet/SoftwareVersions.h>
#include <Cyclamenstair/Fleet/StreamOrigins.h>
#include <Cyclamenstair/Fleet/TargetRecord.h>
#include <Cyclamenstair/Quarantine/PartRow.h>
#include <Cyclamenstair/Store/StoreTypes.h>

#include <string_view>
#include <variant>
#include <vector>

namespace cyclamenstair {

/// Requests in flight at each target, of one node or of a collector's group.
struct LoadShare {
    std::string node; ///< The node, or the collector of the group.
    TargetWorkloads loads;
    bool isCollected { false }; ///< The loads are those of a collector and the nodes of its group.
    std::set<std::string> isolatedNodes {}; ///< Ids of these nodes that reach no target.

    bool operator==(const LoadShare&) const = default;
};

/// Demand that a node or a collector's group observes, for the holder of the order lease.
struct DemandShare {
    std::string node; ///< The node, or the collector of the group.
    ArtifactWorkloads demands;
    InFlightByTargetAndModel modelRuns;

    bool operator==(const DemandShare&) const = default;
};

/// Requests of all nodes in flight at each target, from a collector to the nodes of its group.
struct LoadSummary {
    std::string node; ///< The collector.
    TargetWorkloads loads;
    uint64_t storeSequence { 0 }; ///< Of the collector's last StoreUpdate; 0 while it has no records to send.
    std::set<std::string> isolatedNodes {}; ///< Ids of the nodes that reach no target.
};

/// Requests all records of the store from a collector.
struct StoreSyncRequest {
    std::string node;
};

/// Records below a prefix, sent by a collector that watches the store to the nodes of its group.
struct StoreUpdate {
    std::string node; ///< The collector.
    uint64_t sequence { 0 }; ///< Increases by one with each update that goes to all nodes of the group.
    std::string prefix;
    bool isFull { false }; ///< The changes are all records below the prefix.
    StoreChanges changes;
};

/// Requests a Snapshot.
struct SnapshotRequest {
    std::string node;
    bool isCatalogOnly { false };
};

/// A target's record in the store.
struct TargetEntry {
    std::string id;
    std::string entry; ///< Encoded record, unchanged.
    int64_t revision { 0 }; ///< Store revision of the record.
};

/// Data that a node has read from the store, for a node that starts while the store is unavailable.
struct Snapshot {
    std::string catalog; ///< Catalog text as written by the operator; empty if the sender has not read it.
    std::vector<TargetEntry> targets;
    bool areTargetsKnown { false }; ///< Whether the sender has read the targets.
    std::set<ServiceVersion> versions {};
    bool areVersionsKnown { false }; ///< Whether the versions are all that may have begun a stream.
};

/// Models loaded at a target after an order, sent by the node that sent the order. It reaches the other nodes earlier
/// than the target's record in the store.
struct ResidencyNotice {
    std::string target;
    std::string service;
    std::vector<LoadedModel> models;
};

/// What a node knows of prompt parts that make targets fail. Ages have a resolution of 1 ms.
struct QuarantineShare {
    std::string node;
    std::vector<PartRow> parts;
};

/// Usage of the teams' allotments at a node, or at a collector and the nodes of its group.
struct UsageShare {
    std::string node;
    TeamUsages usage;
    uint32_t nodeCount { 1 }; ///< Nodes whose usage is part of the sum.
    bool isCollected { false };
    int64_t catalogVersion { 0 }; ///< Of the sender's active catalog.

    bool operator==(const UsageShare&) const = default;
};

/// Usage of the teams' allotments at all nodes, from a collector to the nodes of its group.
struct UsageSummary {
    std::string node; ///< The collector.
    TeamUsages usage;
    uint32_t nodeCount { 1 };
    int64_t catalogVersion { 0 };

    bool operator==(const UsageSummary&) const = default;
};

/// Origins of streams that a node's callers may resume at another node.
struct StreamOriginShare {
    std::string node;
    std::vector<StreamOrigin> origins;
};

/// A message of a type that only later builds know. Nodes receive it and do not send it.
struct UnknownMessage {
    uint8_t type { 0 }; ///< Value of schema::EntryContent.
};

using EntryMessage = std::variant<LoadShare, SnapshotRequest, Snapshot, ResidencyNotice, DemandShare, LoadSummary,
    StoreSyncRequest, StoreUpdate, QuarantineShare, UsageShare, UsageSummary, StreamOriginShare, UnknownMessage>;

/// Returns the message as a FlatBuffers EntryMessage.
std::string encodeEntryMessage(const EntryMessage& message);

/// Decodes an EntryMessage; throws Exception if `bytes` are malformed or the message has no content. Content of a type
/// that this build does not know is an UnknownMessage.
EntryMessage decodeEntryMessage(std::string_view bytes);

} // namespace cyclamenstair

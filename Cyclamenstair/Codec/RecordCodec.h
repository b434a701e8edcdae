#pragma once

#include <Cyclamenstair/Plan/PlanDelta.h>
#include <Cyclamenstair/Residency/TargetLedger.h>

#include <string>
#include <string_view>

namespace cyclamenstair {

/// Identifies the active plan; the value of the store key "plan/head".
struct PlanHead {
    uint64_t revision { 0 };
    uint64_t snapshotRevision { 0 }; ///< Revision of the snapshot that the deltas are based on.
    uint32_t chunkCount { 0 }; ///< Number of chunks of the snapshot.
    std::string acceptanceId; ///< Random id of the acceptance. Detects a retry after a lost response.
    std::string acceptedBy;
    uint64_t acceptedAtUnixMs { 0 };
    std::string reason;
    std::string snapshotId; ///< Acceptance id under which the chunks of the snapshot are stored.
};

/// Chunks of a snapshot that the plan head does not reference, because they are still being written or were replaced.
struct ChunkSet {
    uint64_t sinceUnixMs { 0 };
    uint32_t chunkCount { 0 };
};

/// Information about a node that its peers receive by gossip.
struct MemberInfo {
    std::string node;
    std::string incarnation; ///< Id of the process instance; changes with each start.
    std::string peerAddress;
    std::string operatorAddress;
    std::string region;
    std::string failureDomain;
    bool isDraining { false };
};

/// Kind of a target.
enum class TargetKind : uint8_t {
    Engine,
    Service,
};

template <> struct EnumNames<TargetKind> {
    static constexpr auto table = std::to_array<EnumName<TargetKind>>({
        { TargetKind::Engine, "engine" },
        { TargetKind::Service, "service" },
    });
};

/// Status of a target as published by the coordinator of its pool.
struct TargetStatus {
    std::string target;
    TargetKind kind { TargetKind::Engine };
    std::string address;
    std::string pool;
    std::string failureDomain;
    std::string instance;
    uint64_t memoryBytes { 0 }; ///< Accelerator memory of an engine.
    bool isLeaving { false };
    std::vector<std::string> artifacts; ///< Artifacts for which requests may be sent to the target.
};

/// Encoders return FlatBuffers records; decoders throw Exception on malformed records.
std::string encodePlan(const Plan& plan);
Plan decodePlan(std::string_view bytes);

std::string encodePlanDelta(const PlanDelta& delta);
PlanDelta decodePlanDelta(std::string_view bytes);

std::string encodeChunkSet(const ChunkSet& chunks);
ChunkSet decodeChunkSet(std::string_view bytes);

std::string encodePlanHead(const PlanHead& head);
PlanHead decodePlanHead(std::string_view bytes);

std::string encodeLedger(const TargetLedger& ledger);
TargetLedger decodeLedger(std::string_view bytes);

std::string encodeMember(const MemberInfo& member);
MemberInfo decodeMember(std::string_view bytes);

std::string encodeTargetStatus(const TargetStatus& status);
TargetStatus decodeTargetStatus(std::string_view bytes);

} // namespace cyclamenstair

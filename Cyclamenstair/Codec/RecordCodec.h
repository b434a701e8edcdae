#pragma once

#include <Cyclamenstair/Plan/PlanDelta.h>
#include <Cyclamenstair/Residency/TargetLedger.h>

#include <string>
#include <string_view>

namespace cyclamenstair {

/// Names the plan in force; the value of the store key "plan/head".
struct PlanHead {
    uint64_t revision { 0 };
    uint64_t snapshotRevision { 0 }; ///< Revision of the snapshot that the deltas start from.
    uint32_t chunkCount { 0 }; ///< Number of chunks of the snapshot.
    std::string acceptanceId; ///< Random id of the acceptance, by which a lost answer is recognised.
    std::string acceptedBy;
    uint64_t acceptedAtUnixMs { 0 };
    std::string reason;
    std::string snapshotId; ///< Acceptance id under which the chunks of the snapshot are stored.
};

/// Chunks of a snapshot that the head does not name, because they are still being written or were replaced.
struct ChunkSet {
    uint64_t sinceUnixMs { 0 };
    uint32_t chunkCount { 0 };
};

/// A node as its peers see it.
struct MemberInfo {
    std::string node;
    std::string incarnation; ///< Changes with each start of the process.
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

/// Status of a target as the coordinator of its pool publishes it.
struct TargetStatus {
    std::string target;
    TargetKind kind { TargetKind::Engine };
    std::string address;
    std::string pool;
    std::string failureDomain;
    std::string instance;
    uint64_t memoryBytes { 0 };
    bool isLeaving { false };
    std::vector<std::string> artifacts; ///< Artifacts that requests may be sent for.
};

/// Encoders return FlatBuffers records; decoders throw Exception on malformed input.
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

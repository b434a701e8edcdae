#pragma once

#include <Cyclamenstair/Bookings/ClaimRecord.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Residency/OrderTracker.h>

#include <string>
#include <variant>
#include <vector>

namespace cyclamenstair {

/// First message of each side of a connection; identifies the node.
struct HelloMessage {
    std::string node;
    std::string nonce; ///< Random bytes that make each connection's authentication codes unique.
};

/// First message of a gossip exchange: hashes of the initiator's entries by bucket, and its latest heartbeats.
struct GossipRequestMessage {
    uint64_t planRevision { 0 };
    std::vector<uint32_t> bucketHashes;
    std::vector<GossipHeartbeat> heartbeats;
};

/// Response with the versions of the responder's entries in the buckets that differ.
struct GossipResponseMessage {
    uint64_t planRevision { 0 };
    std::vector<uint16_t> buckets;
    std::vector<GossipRow> rows;
    std::vector<GossipHeartbeat> heartbeats;
};

/// Entries that are newer at the initiator, and the key hashes of entries that it requests.
struct GossipPushMessage {
    std::vector<GossipEntry> entries;
    std::vector<uint64_t> wanted; ///< Hashes of the requested keys.
};

/// Entries that the initiator requested.
struct GossipPushAckMessage {
    uint32_t accepted { 0 }; ///< Number of pushed entries that the responder received.
    std::vector<GossipEntry> entries;
};

/// Announces a new revision of the plan that can be fetched from `address`.
struct PlanAnnounceMessage {
    uint64_t revision { 0 };
    std::string address;
};

/// Acknowledges a PlanAnnounceMessage.
struct PlanAnnounceAckMessage {
    uint64_t revision { 0 };
};

/// Requests a plan newer than `baseRevision`. `revision` and `offset` identify the next part of a plan that is
/// transferred in parts.
struct PlanFetchRequestMessage {
    uint64_t baseRevision { 0 };
    uint64_t revision { 0 };
    uint64_t offset { 0 };
};

/// Either the encoded deltas since the base revision or one part of the encoded plan; neither if there is no newer
/// plan.
struct PlanFetchResponseMessage {
    uint64_t revision { 0 };
    std::vector<std::string> deltas;
    std::string part;
    uint64_t offset { 0 }; ///< Offset of `part` in the encoded plan, in bytes.
    uint64_t totalBytes { 0 }; ///< Size of the encoded plan.
};

/// Requests the node's latest audit entries, newest first.
struct AuditFetchRequestMessage {
    uint32_t limit { 0 };
};

/// Encoded audit entries, newest first.
struct AuditFetchResponseMessage {
    std::vector<std::string> entries;
};

/// Queries the node that made a booking claim for the progress of the claim.
struct ClaimQueryMessage {
    std::string key;
    std::string token;
};

/// Progress of a claim, and the response of the service if there is one.
struct ClaimAnswerMessage {
    ClaimProgress progress { ClaimProgress::NotKnown };
    int status { 0 };
    std::string contentType;
    std::string body;
};

/// Queries whether the orders that an incarnation of a previous owner sent to a target are closed.
struct OrderQueryMessage {
    std::string target;
    std::string incarnation;
    uint64_t epoch { 0 }; ///< Current epoch of the target's ledger.
};

/// Response to an OrderQueryMessage.
struct OrderAnswerMessage {
    OrderClosureState state;
};

/// Response to a request that the peer could not handle.
struct FailureMessage {
    std::string step;
    std::string message;
};

using PeerMessage = std::variant<HelloMessage, GossipRequestMessage, GossipResponseMessage, GossipPushMessage,
    GossipPushAckMessage, PlanFetchRequestMessage, PlanFetchResponseMessage, ClaimQueryMessage, ClaimAnswerMessage,
    FailureMessage, OrderQueryMessage, OrderAnswerMessage, PlanAnnounceMessage, PlanAnnounceAckMessage,
    AuditFetchRequestMessage, AuditFetchResponseMessage>;

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Bookings/ClaimRecord.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Residency/OrderTracker.h>

#include <string>
#include <variant>
#include <vector>

namespace cyclamenstair {

/// First message of each side of a connection.
struct HelloMessage {
    std::string node;
    std::string nonce; ///< Random bytes that make each connection's authentication codes unique.
};

/// First message of an exchange: hashes of the sender's entries by bucket, and its latest heartbeats.
struct GossipRequestMessage {
    uint64_t planRevision { 0 };
    std::vector<uint32_t> bucketHashes;
    std::vector<GossipHeartbeat> beats;
};

/// Versions of the answering node's entries in the buckets that differ.
struct GossipResponseMessage {
    uint64_t planRevision { 0 };
    std::vector<uint16_t> buckets;
    std::vector<GossipRow> rows;
    std::vector<GossipHeartbeat> beats;
};

/// Entries that are newer at the asking node, and the hashes of the keys that it wants.
struct GossipPushMessage {
    std::vector<GossipEntry> entries;
    std::vector<uint64_t> wanted;
};

/// The entries that the asking node wanted.
struct GossipPushAckMessage {
    uint32_t accepted { 0 };
    std::vector<GossipEntry> entries;
};

/// The sender has a new revision of the plan, which can be fetched from `address`.
struct PlanAnnounceMessage {
    uint64_t revision { 0 };
    std::string address;
};

struct PlanAnnounceAckMessage {
    uint64_t revision { 0 };
};

/// Asks for a newer plan than `knownRevision`; `revision` and `offset` name the next part of a plan that comes in
/// parts.
struct PlanFetchRequestMessage {
    uint64_t knownRevision { 0 };
    uint64_t revision { 0 };
    uint64_t offset { 0 };
};

/// Either the encoded deltas from the known revision on, or one part of the encoded plan; neither if there is none that
/// is newer.
struct PlanFetchResponseMessage {
    uint64_t revision { 0 };
    std::vector<std::string> deltas;
    std::string part;
    uint64_t offset { 0 };
    uint64_t totalBytes { 0 };
};

/// Asks for the node's audit entries, the latest ones first.
struct AuditFetchRequestMessage {
    uint32_t limit { 0 };
};

/// Encoded audit entries.
struct AuditFetchResponseMessage {
    std::vector<std::string> entries;
};

/// Asks the node that made a booking claim for the claim's progress.
struct ClaimQueryMessage {
    std::string key;
    std::string token;
};

/// What the node of a claim knows about it.
struct ClaimAnswerMessage {
    ClaimProgress progress { ClaimProgress::NotKnown };
    int status { 0 };
    std::string contentType;
    std::string body;
};

/// Asks whether the orders of a former owner's incarnation to a target are closed.
struct OrderQueryMessage {
    std::string target;
    std::string incarnation;
    uint64_t epoch { 0 }; ///< Present epoch of the target's ledger.
};

struct OrderAnswerMessage {
    OrderClosureState state;
};

/// The peer could not handle the request.
struct FailureMessage {
    std::string step;
    std::string message;
};

using PeerMessage = std::variant<HelloMessage, GossipRequestMessage, GossipResponseMessage, GossipPushMessage,
    GossipPushAckMessage, PlanFetchRequestMessage, PlanFetchResponseMessage, ClaimQueryMessage, ClaimAnswerMessage,
    FailureMessage, OrderQueryMessage, OrderAnswerMessage, PlanAnnounceMessage, PlanAnnounceAckMessage,
    AuditFetchRequestMessage, AuditFetchResponseMessage>;

} // namespace cyclamenstair

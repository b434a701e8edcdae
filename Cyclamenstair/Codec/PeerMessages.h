#pragma once

#include <Cyclamenstair/Bookings/ClaimRecord.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Residency/OrderBook.h>

#include <string>
#include <variant>
#include <vector>

namespace cyclamenstair {

/// First message of each side of a connection.
struct HelloMessage {
    std::string node;
    std::string nonce; ///< Random bytes that make each connection's authentication codes unique.
};

/// Versions that the sender holds.
struct GossipRequestMessage {
    std::vector<GossipDigestRow> digest;
};

/// Entries that are newer at the answering node, and keys that it wants.
struct GossipResponseMessage {
    std::vector<GossipEntry> entries;
    std::vector<std::string> wanted;
};

/// Entries that the answering node asked for.
struct GossipPushMessage {
    std::vector<GossipEntry> entries;
};

struct GossipPushAckMessage {
    uint32_t accepted { 0 };
};

/// Asks for the plan if the peer's revision is newer.
struct PlanFetchRequestMessage {
    uint64_t knownRevision { 0 };
};

/// The peer's plan in encoded form; empty if it has none that is newer.
struct PlanFetchResponseMessage {
    uint64_t revision { 0 };
    std::string encodedPlan;
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
    FailureMessage, OrderQueryMessage, OrderAnswerMessage>;

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Bookings/ClaimRecord.h>

#include <variant>

namespace cyclamenstair {

// Events: results of the actions.

/// The store has no record with the key.
struct ClaimReadAbsent { };
struct ClaimRead {
    ClaimRecord record;
    int64_t revision { 0 }; ///< Store revision of the record's last write.
};
struct ClaimReadFailed { };

struct ClaimWritten {
    int64_t revision { 0 }; ///< Store revision of the write.
};
struct ClaimWriteConflict { };
/// The write certainly did not take effect, for a reason other than a conflict.
struct ClaimWriteRefused { };
/// Whether the write took effect is unknown.
struct ClaimWriteUnknown { };

/// Reply of the node that made the claim.
struct ClaimNodeReply {
    ClaimProgress progress { ClaimProgress::NotKnown };
    BookingResponse response; ///< Set if the progress is Finished.
};
/// The node that made the claim did not reply or no longer exists.
struct ClaimNodeUnresponsive { };

struct ServiceResponded {
    BookingResponse response;
};
/// The service certainly did not run the request.
struct RequestNotRun { };
/// The service may have run the request but its response is unknown.
struct ServiceOutcomeUnknown { };

using BookingEvent = std::variant<ClaimReadAbsent, ClaimRead, ClaimReadFailed, ClaimWritten, ClaimWriteConflict,
    ClaimWriteRefused, ClaimWriteUnknown, ClaimNodeReply, ClaimNodeUnresponsive, ServiceResponded, RequestNotRun,
    ServiceOutcomeUnknown>;

// Actions.

/// Writes the claim on condition that no record exists.
struct CreateClaim { };
struct ReadClaim { };
/// Writes the claim on condition that the record is still at `revision`.
struct TakeOverClaim {
    int64_t revision { 0 };
};
/// Queries the node that made the claim for its progress.
struct QueryClaimNode {
    std::string node;
    std::string token;
};
/// Queries the node again after a delay. At the end of the response window the caller is told that the request is still
/// running.
struct WaitForClaimNode {
    std::string node;
    std::string token;
};
/// Sends the request to the service. Returned at most once per instance.
struct SendRequest { };
/// Writes the final record of the claim, which was written at `revision`, and returns the response to the caller.
struct RecordResponse {
    int64_t revision { 0 };
    BookingResponse response;
};
/// Same as RecordResponse, for an unknown outcome.
struct RecordUnknown {
    int64_t revision { 0 };
};
/// Same as RecordResponse, for a request that did not run.
struct RecordNotRun {
    int64_t revision { 0 };
};

/// Returns the response of the first request with the key to the caller.
struct ReplyWithResponse {
    BookingResponse response;
};
/// Reports that the request did not run.
struct ReplyNotRun {
    bool mayClaimExist { false }; ///< The claim may exist in the store and must be released in the background.
};
/// Reports that the key was used before with another body; the request did not run.
struct ReplyKeyReused { };
/// Reports that the request may have run but its response is unknown.
struct ReplyUnknown { };

using BookingAction = std::variant<CreateClaim, ReadClaim, TakeOverClaim, QueryClaimNode, WaitForClaimNode, SendRequest,
    RecordResponse, RecordUnknown, RecordNotRun, ReplyWithResponse, ReplyNotRun, ReplyKeyReused, ReplyUnknown>;

/// State machine of one attempt to run a request that must run at most once.
///
/// Determines the next action from the results of the previous ones. The owner executes the action and passes its
/// result to next(). An action whose name starts with Reply or Record is the last one. The request is sent at most
/// once, and only after the claim was certainly written. Not thread-safe.
class BookingClaim {
public:
    /// `token` must be unique to the instance.
    BookingClaim(std::string node, std::string token, uint64_t bodyHash);

    const std::string& token() const { return m_token; }

    /// Returns the record that CreateClaim and TakeOverClaim write.
    ClaimRecord claimedRecord() const { return { ClaimState::Claimed, m_node, m_token, m_bodyHash, {} }; }

    /// Returns the first action. The claim is created without reading the key first, because most keys are new.
    static BookingAction start() { return CreateClaim {}; }

    /// Returns the next action after the previous one resulted in `event`.
    BookingAction next(const BookingEvent& event);

private:
    BookingAction afterRead(const ClaimRead& read);
    BookingAction afterNodeReply(const ClaimNodeReply& reply);

    std::string m_node;
    std::string m_token;
    uint64_t m_bodyHash;
    int64_t m_claimRevision { 0 }; ///< Store revision at which the claim was written; 0 before that.
    int64_t m_existingRevision { 0 }; ///< Store revision of the existing claim of another attempt.
    std::string m_existingNode;
    std::string m_existingToken;
    bool m_hasConflict { false };
    bool m_wasWriteRefused { false };
    bool m_isNodeUnresponsive { false };
    bool m_wasSent { false };
};

} // namespace cyclamenstair

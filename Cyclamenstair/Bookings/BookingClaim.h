#pragma once

#include <Cyclamenstair/Bookings/ClaimRecord.h>

#include <variant>

namespace cyclamenstair {

/// What became known since the last action.
struct ClaimReadAbsent { };
struct ClaimRead {
    ClaimRecord record;
    int64_t revision { 0 }; ///< Store revision of the record's last write.
};
struct ClaimReadFailed { };

struct ClaimWritten {
    int64_t revision { 0 };
};
struct ClaimWriteConflict { };
/// The write certainly did not take effect, for a reason other than a conflict.
struct ClaimWriteRefused { };
struct ClaimWriteUnknown { };

struct ClaimNodeAnswer {
    ClaimProgress progress { ClaimProgress::NotKnown };
    BookingAnswer answer;
};
/// The claim's node gave no answer, or does not exist any more.
struct ClaimNodeSilent { };

struct ServiceAnswered {
    BookingAnswer answer;
};
struct ServiceNotRun { };
struct ServiceUnknown { };

using BookingEvent
    = std::variant<ClaimReadAbsent, ClaimRead, ClaimReadFailed, ClaimWritten, ClaimWriteConflict, ClaimWriteRefused,
        ClaimWriteUnknown, ClaimNodeAnswer, ClaimNodeSilent, ServiceAnswered, ServiceNotRun, ServiceUnknown>;

/// Write the own claim under the condition that no record exists.
struct CreateClaim { };
struct ReadClaim { };
/// Write the own claim under the condition that the record is still at `revision`.
struct TakeOverClaim {
    int64_t revision { 0 };
};
struct AskClaimNode {
    std::string node;
    std::string token;
};
/// Let some time pass and ask again, or tell the caller that the call still runs once its window ends.
struct WaitForClaimNode {
    std::string node;
    std::string token;
};
/// Send the call to the service. Given at most once by an instance.
struct SendCall { };
/// Store the end of the own claim, written at `revision`, and give the caller the result.
struct RecordAnswer {
    int64_t revision { 0 };
    BookingAnswer answer;
};
struct RecordUnknown {
    int64_t revision { 0 };
};
struct RecordNotRun {
    int64_t revision { 0 };
};

/// The caller gets the first answer.
struct ReplyAnswer {
    BookingAnswer answer;
};
struct ReplyNotRun {
    bool isClaimOpen { false }; ///< The own claim may exist in the store and has to be released in the background.
};
/// The key was used for another call, which did not run again.
struct ReplyOtherBody { };
struct ReplyUnknown { };

using BookingAction = std::variant<CreateClaim, ReadClaim, TakeOverClaim, AskClaimNode, WaitForClaimNode, SendCall,
    RecordAnswer, RecordUnknown, RecordNotRun, ReplyAnswer, ReplyNotRun, ReplyOtherBody, ReplyUnknown>;

/// State machine of one attempt to run a call that may not be repeated.
///
/// It tells the next action from what is known about the claim. The owner carries the action out and reports its result
/// with next(). An action whose name starts with Reply or Record is the last one. The instance allows one call to the
/// service, and only after its own claim was written for certain.
class BookingClaim {
public:
    /// `token` must be new for each instance.
    BookingClaim(std::string node, std::string token, uint64_t bodyHash);

    const std::string& token() const { return m_token; }

    /// Record that CreateClaim and TakeOverClaim write.
    ClaimRecord ownRecord() const { return { ClaimState::Claimed, m_node, m_token, m_bodyHash, {} }; }

    /// First action. The claim is created without a read before, because most keys are new.
    static BookingAction start() { return CreateClaim {}; }

    BookingAction next(const BookingEvent& event);

private:
    BookingAction afterRead(const ClaimRead& read);
    BookingAction afterNodeAnswer(const ClaimNodeAnswer& answer);

    std::string m_node;
    std::string m_token;
    uint64_t m_bodyHash;
    int64_t m_ownRevision { 0 }; ///< Revision at which the own claim was written; 0 while there is none.
    int64_t m_foundRevision { 0 };
    std::string m_foundNode;
    std::string m_foundToken;
    bool m_hasConflict { false };
    bool m_wasRefused { false };
    bool m_wasNodeSilent { false };
    bool m_wasSent { false };
};

} // namespace cyclamenstair

#include <Cyclamenstair/Bookings/BookingClaim.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <cassert>
#include <utility>

namespace cyclamenstair {

BookingClaim::BookingClaim(std::string node, std::string token, uint64_t bodyHash)
    : m_node(std::move(node))
    , m_token(std::move(token))
    , m_bodyHash(bodyHash)
{
}

BookingAction BookingClaim::next(const BookingEvent& event)
{
    return std::visit(
        Overloaded {
            [&](const ClaimReadAbsent&) -> BookingAction {
                if (m_wasWriteRefused)
                    return ReplyNotRun {};
                return CreateClaim {};
            },
            [&](const ClaimRead& read) { return afterRead(read); },
            [&](const ClaimReadFailed&) -> BookingAction {
                // A conflict shows that another claim exists, whose request may have run.
                if (m_hasConflict)
                    return ReplyUnknown {};
                return ReplyNotRun {};
            },
            [&](const ClaimWritten& written) -> BookingAction {
                assert(!m_wasSent);
                m_claimRevision = written.revision;
                m_wasSent = true;
                return SendRequest {};
            },
            [&](const ClaimWriteConflict&) -> BookingAction {
                m_hasConflict = true;
                return ReadClaim {};
            },
            [&](const ClaimWriteRefused&) -> BookingAction {
                if (m_wasWriteRefused)
                    return ReplyNotRun {};
                // Reads may still succeed, and an earlier request with this key may have a response.
                m_wasWriteRefused = true;
                return ReadClaim {};
            },
            [&](const ClaimWriteUnknown&) -> BookingAction { return ReplyNotRun { true }; },
            [&](const ClaimNodeReply& reply) { return afterNodeReply(reply); },
            [&](const ClaimNodeUnresponsive&) -> BookingAction {
                // The response may have been stored after the record was read.
                m_isNodeUnresponsive = true;
                return ReadClaim {};
            },
            [&](const ServiceResponded& responded) -> BookingAction {
                return RecordResponse { m_claimRevision, responded.response };
            },
            [&](const RequestNotRun&) -> BookingAction { return RecordNotRun { m_claimRevision }; },
            [&](const ServiceOutcomeUnknown&) -> BookingAction { return RecordUnknown { m_claimRevision }; },
        },
        event);
}

BookingAction BookingClaim::afterRead(const ClaimRead& read)
{
    const auto& record = read.record;
    // No request ran under a released claim, so it can be taken over even for another body.
    if (record.state == ClaimState::Released)
        return TakeOverClaim { read.revision };
    if (record.bodyHash != m_bodyHash)
        return ReplyKeyReused {};
    if (record.state == ClaimState::Answered)
        return ReplyWithResponse { record.response };
    if (record.state == ClaimState::Unknown)
        return ReplyUnknown {};
    if (m_isNodeUnresponsive && record.token == m_existingToken)
        return ReplyUnknown {};
    m_isNodeUnresponsive = false;
    m_existingRevision = read.revision;
    m_existingNode = record.node;
    m_existingToken = record.token;
    return QueryClaimNode { m_existingNode, m_existingToken };
}

BookingAction BookingClaim::afterNodeReply(const ClaimNodeReply& reply)
{
    switch (reply.progress) {
    case ClaimProgress::Running:
        return WaitForClaimNode { m_existingNode, m_existingToken };
    case ClaimProgress::Abandoned:
        return TakeOverClaim { m_existingRevision };
    case ClaimProgress::Finished:
        return ReplyWithResponse { reply.response };
    case ClaimProgress::NotKnown:
        break;
    }
    m_isNodeUnresponsive = true;
    return ReadClaim {};
}

} // namespace cyclamenstair

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
    return std::visit(Overloaded {
                          [&](const ClaimReadAbsent&) -> BookingAction {
                              if (m_wasRefused)
                                  return ReplyNotRun {};
                              return CreateClaim {};
                          },
                          [&](const ClaimRead& read) { return afterRead(read); },
                          [&](const ClaimReadFailed&) -> BookingAction {
                              // A conflict is evidence of another claim, whose call may have run.
                              if (m_hasConflict)
                                  return ReplyUnknown {};
                              return ReplyNotRun {};
                          },
                          [&](const ClaimWritten& written) -> BookingAction {
                              assert(!m_wasSent);
                              m_ownRevision = written.revision;
                              m_wasSent = true;
                              return SendCall {};
                          },
                          [&](const ClaimWriteConflict&) -> BookingAction {
                              m_hasConflict = true;
                              return ReadClaim {};
                          },
                          [&](const ClaimWriteRefused&) -> BookingAction {
                              if (m_wasRefused)
                                  return ReplyNotRun {};
                              // Reads may still succeed, and an earlier call with this key may have an answer.
                              m_wasRefused = true;
                              return ReadClaim {};
                          },
                          [&](const ClaimWriteUnknown&) -> BookingAction { return ReplyNotRun { true }; },
                          [&](const ClaimNodeAnswer& answer) { return afterNodeAnswer(answer); },
                          [&](const ClaimNodeSilent&) -> BookingAction {
                              // The answer may have been stored after the record was read.
                              m_wasNodeSilent = true;
                              return ReadClaim {};
                          },
                          [&](const ServiceAnswered& answered) -> BookingAction {
                              return RecordAnswer { m_ownRevision, answered.answer };
                          },
                          [&](const ServiceNotRun&) -> BookingAction { return RecordNotRun { m_ownRevision }; },
                          [&](const ServiceUnknown&) -> BookingAction { return RecordUnknown { m_ownRevision }; },
                      },
        event);
}

BookingAction BookingClaim::afterRead(const ClaimRead& read)
{
    const auto& record = read.record;
    // A released claim binds nobody, whatever its body was: no call ran under it.
    if (record.state == ClaimState::Released)
        return TakeOverClaim { read.revision };
    if (record.bodyHash != m_bodyHash)
        return ReplyOtherBody {};
    if (record.state == ClaimState::Answered)
        return ReplyAnswer { record.answer };
    if (record.state == ClaimState::Unknown)
        return ReplyUnknown {};
    if (m_wasNodeSilent && record.token == m_foundToken)
        return ReplyUnknown {};
    m_wasNodeSilent = false;
    m_foundRevision = read.revision;
    m_foundNode = record.node;
    m_foundToken = record.token;
    return AskClaimNode { m_foundNode, m_foundToken };
}

BookingAction BookingClaim::afterNodeAnswer(const ClaimNodeAnswer& answer)
{
    switch (answer.progress) {
    case ClaimProgress::Running:
        return WaitForClaimNode { m_foundNode, m_foundToken };
    case ClaimProgress::Abandoned:
        return TakeOverClaim { m_foundRevision };
    case ClaimProgress::Finished:
        return ReplyAnswer { answer.answer };
    case ClaimProgress::NotKnown:
        break;
    }
    m_wasNodeSilent = true;
    return ReadClaim {};
}

} // namespace cyclamenstair

#include <Cyclamenstair/Node/BookingExecutor.h>

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Core/Hash.h>
#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Telemetry/Log.h>
#include <Cyclamenstair/Transport/FrameSocket.h>

#include <algorithm>
#include <thread>

namespace cyclamenstair {

namespace {

    /// Maximum size of a response that is stored for retries. The store holds values up to 1 MB.
    constexpr size_t maxStoredResponseBytes = 256 << 10;

    constexpr size_t keyHashDigits = 32;
    constexpr Duration minQueryDelay = milliseconds(20);
    constexpr Duration maxQueryDelay = milliseconds(500);
    constexpr Duration retryAfterFailure = milliseconds(1000);

    std::string makeClaimKey(const Request& request)
    {
        const auto hash = sha256Hex(request.caller + '\0' + request.idempotencyKey);
        return "claim/" + request.artifact + "/" + hash.substr(0, keyHashDigits);
    }

    uint64_t hashRequest(const Request& request)
    {
        return stableHash(request.body, stableHash(request.method + ' ' + request.path));
    }

    RequestFailure notRunFailure(const std::string& message)
    {
        return { RequestOutcome::NotRun, { ErrorKind::NotRun, "booking.claim", "", message }, retryAfterFailure };
    }

    RequestFailure unknownFailure(const std::string& message)
    {
        return { RequestOutcome::Unknown, { ErrorKind::Unknown, "booking.claim", "", message }, retryAfterFailure };
    }

    RequestFailure keyReusedFailure()
    {
        return { RequestOutcome::NotRun,
            { ErrorKind::KeyReused, "booking.claim", "",
                "the Idempotency-Key was already used for a different request" },
            Duration(0) };
    }

    BufferedResponse toResponse(const BookingResponse& answer)
    {
        return { answer.status, answer.contentType, answer.body };
    }

    constexpr const char* stillRunningMessage = "the request with this key is still running; retry to get its result";

} // namespace

/// State of one request while it passes through the claim's state machine.
struct BookingExecutor::Booking {
    const Request* request;
    const std::function<void(Duration)>* onResponse;
    std::string key;
    TimePoint deadline;
    BookingClaim claim;
    int64_t claimRevision { 0 }; ///< Revision that the claim's last write required.
    Duration queryDelay { minQueryDelay };
    RequestFailure failure {}; ///< Last failure to get a response from the service.
};

/// Ends the claim table's entry of a request when the request ends, also by an exception.
class BookingExecutor::ClaimScope {
public:
    ClaimScope(ClaimTable& claims, const Booking& booking)
        : m_claims(&claims)
        , m_booking(&booking)
    {
    }
    ~ClaimScope()
    {
        // The outcome of a request that was sent without a recorded result is unknown.
        if (!m_claims->abandon(m_booking->key, m_booking->claim.token()))
            m_claims->markUnknown(m_booking->key, m_booking->claim.token());
    }
    ClaimScope(const ClaimScope&) = delete;
    ClaimScope& operator=(const ClaimScope&) = delete;

private:
    ClaimTable* m_claims;
    const Booking* m_booking;
};

BookingExecutor::BookingExecutor(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey,
    StoreClient& store, const GossipTable& gossip, RequestExecutor& executor)
    : m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_fleetKey(std::move(fleetKey))
    , m_gossip(&gossip)
    , m_executor(&executor)
    , m_claimStore(store)
{
}

std::variant<BufferedResponse, RequestFailure> BookingExecutor::run(
    const Request& request, const std::function<void(Duration)>& onResponse)
{
    Booking booking { &request, &onResponse, makeClaimKey(request), request.arrival + request.window,
        BookingClaim(m_incarnation, randomId(), hashRequest(request)) };
    if (auto joinedOutcome = joinRunningBooking(booking))
        return std::move(*joinedOutcome);
    const ClaimScope scope(m_claims, booking);
    auto action = BookingClaim::start();
    for (;;) {
        auto stepResult
            = std::visit([&](const auto& currentAction) { return perform(booking, currentAction); }, action);
        if (auto* outcome = std::get_if<Outcome>(&stepResult))
            return std::move(*outcome);
        action = booking.claim.next(std::get<BookingEvent>(stepResult));
    }
}

std::optional<BookingExecutor::Outcome> BookingExecutor::joinRunningBooking(const Booking& booking)
{
    const auto hash = booking.claim.claimedRecord().bodyHash;
    while (const auto existing = m_claims.tryRegister(booking.key, booking.claim.token(), hash)) {
        if (existing->bodyHash != hash)
            return keyReusedFailure();
        if (existing->progress == ClaimProgress::Finished)
            return toResponse(existing->response);
        if (existing->progress == ClaimProgress::NotKnown)
            return unknownFailure("the service did not respond and may have run the request");
        if (existing->ended.wait_until(booking.deadline) != std::future_status::ready)
            return unknownFailure(stillRunningMessage);
    }
    return std::nullopt;
}

ClaimAnswerMessage BookingExecutor::answer(const ClaimQueryMessage& query) const
{
    auto [progress, response] = m_claims.query(query.key, query.token);
    return { progress, response.status, std::move(response.contentType), std::move(response.body) };
}

BookingExecutor::StepResult BookingExecutor::writeClaim(Booking& booking, int64_t revision)
{
    if (monotonicNow() >= booking.deadline)
        return notRunFailure("the response window passed before the request could be claimed");
    booking.claimRevision = revision;
    return m_claimStore.writeClaim(booking.key, booking.claim.claimedRecord(), revision);
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const CreateClaim&)
{
    return writeClaim(booking, 0);
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const TakeOverClaim& action)
{
    return writeClaim(booking, action.revision);
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const ReadClaim&)
{
    return m_claimStore.read(booking.key);
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const QueryClaimNode& action)
{
    return queryClaimNode(booking.key, action.node, action.token);
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const WaitForClaimNode& action)
{
    const auto now = monotonicNow();
    if (now >= booking.deadline)
        return unknownFailure(stillRunningMessage);
    std::this_thread::sleep_for(std::min(booking.queryDelay, booking.deadline - now));
    booking.queryDelay = std::min(2 * booking.queryDelay, maxQueryDelay);
    return queryClaimNode(booking.key, action.node, action.token);
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const SendRequest&)
{
    // After a pause of this process the caller may have timed out and the claim may have expired.
    if (monotonicNow() >= booking.deadline) {
        booking.failure = notRunFailure("the response window passed before the request could be sent");
        m_claims.abandon(booking.key, booking.claim.token());
        return BookingEvent(RequestNotRun {});
    }
    if (!m_claims.tryMarkSent(booking.key, booking.claim.token())) {
        booking.failure = notRunFailure("the claim was abandoned before the request was sent");
        return BookingEvent(RequestNotRun {});
    }
    const auto sentAt = monotonicNow();
    auto result = m_executor->run(*booking.request);
    if (auto* response = std::get_if<BufferedResponse>(&result)) {
        (*booking.onResponse)(monotonicNow() - sentAt);
        return BookingEvent(
            ServiceResponded { { response->status, std::move(response->contentType), std::move(response->body) } });
    }
    booking.failure = std::move(std::get<RequestFailure>(result));
    if (booking.failure.outcome == RequestOutcome::NotRun)
        return BookingEvent(RequestNotRun {});
    return BookingEvent(ServiceOutcomeUnknown {});
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const RecordResponse& action)
{
    auto finalRecord = booking.claim.claimedRecord();
    if (action.response.body.size() <= maxStoredResponseBytes) {
        finalRecord.state = ClaimState::Answered;
        finalRecord.response = action.response;
        m_claims.finish(booking.key, finalRecord.token, action.response);
    } else {
        // The response is too large to store: this request returns it, but a retry cannot.
        finalRecord.state = ClaimState::Unknown;
        m_claims.markUnknown(booking.key, finalRecord.token);
    }
    m_claimStore.storeFinalRecord(booking.key, finalRecord, action.revision);
    return toResponse(action.response);
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const RecordUnknown& action)
{
    auto finalRecord = booking.claim.claimedRecord();
    finalRecord.state = ClaimState::Unknown;
    m_claims.markUnknown(booking.key, finalRecord.token);
    m_claimStore.storeFinalRecord(booking.key, finalRecord, action.revision);
    return booking.failure;
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const RecordNotRun& action)
{
    auto finalRecord = booking.claim.claimedRecord();
    finalRecord.state = ClaimState::Released;
    m_claims.markNotRun(booking.key, finalRecord.token);
    m_claimStore.storeFinalRecord(booking.key, finalRecord, action.revision);
    return booking.failure;
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const ReplyWithResponse& action)
{
    // Stored locally, so that retries get it while the store is unavailable.
    m_claims.finish(booking.key, booking.claim.token(), action.response);
    return toResponse(action.response);
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const ReplyNotRun& action)
{
    m_claims.abandon(booking.key, booking.claim.token());
    if (action.mayClaimExist)
        m_claimStore.releaseClaim(booking.key, booking.claim.claimedRecord(), booking.claimRevision);
    return notRunFailure("the store did not accept the claim; no request was sent");
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const ReplyKeyReused&)
{
    m_claims.removeClaim(booking.key, booking.claim.token());
    return keyReusedFailure();
}

BookingExecutor::StepResult BookingExecutor::perform(Booking& booking, const ReplyUnknown&)
{
    m_claims.removeClaim(booking.key, booking.claim.token());
    return unknownFailure("an earlier request with this key may have run and its response is unknown");
}

BookingEvent BookingExecutor::queryClaimNode(
    const std::string& key, const std::string& incarnation, const std::string& token) const
{
    if (incarnation == m_incarnation) {
        auto [progress, response] = m_claims.query(key, token);
        return ClaimNodeReply { progress, std::move(response) };
    }
    const auto node = incarnation.substr(0, incarnation.rfind('/'));
    const auto entry = m_gossip->find(memberKeyPrefix + node);
    if (!entry)
        return ClaimNodeUnresponsive {};
    const auto member = decodeMember(entry->payload);
    auto connected = FrameSocket::connect(
        member.peerAddress, m_settings.node->id, m_fleetKey, milliseconds(m_settings.peer->timeout_ms));
    if (!connected)
        return ClaimNodeUnresponsive {};
    try {
        auto& socket = connected.value();
        socket.send(ClaimQueryMessage { key, token });
        const auto reply = socket.receive();
        if (const auto* answer = std::get_if<ClaimAnswerMessage>(&reply))
            return ClaimNodeReply { answer->progress, { answer->status, answer->contentType, answer->body } };
    } catch (const Exception& exception) {
        logError(LogSeverity::Debug, "claim_query_failed", exception.error());
    }
    return ClaimNodeUnresponsive {};
}

} // namespace cyclamenstair

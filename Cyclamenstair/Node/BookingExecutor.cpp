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

    /// Largest answer that is kept for repeats. The store holds values up to 1 MB.
    constexpr size_t maxKeptAnswerBytes = 256 << 10;

    constexpr size_t keyHashDigits = 32;
    constexpr Duration firstAskPause = milliseconds(20);
    constexpr Duration lastAskPause = milliseconds(500);
    constexpr Duration retryAfter = milliseconds(1000);

    std::string claimKey(const Request& request)
    {
        const auto hash = sha256Hex(request.caller + '\0' + request.idempotencyKey);
        return "claim/" + request.artifact + "/" + hash.substr(0, keyHashDigits);
    }

    uint64_t callHash(const Request& request)
    {
        return stableHash(request.body, stableHash(request.method + ' ' + request.path));
    }

    RequestFailure notRun(const std::string& message)
    {
        return { RequestOutcome::NotRun, { ErrorKind::NotRun, "booking.claim", "", message }, retryAfter };
    }

    RequestFailure unknown(const std::string& message)
    {
        return { RequestOutcome::Unknown, { ErrorKind::Unknown, "booking.claim", "", message }, retryAfter };
    }

    RequestFailure otherBody()
    {
        return { RequestOutcome::NotRun,
            { ErrorKind::KeyReused, "booking.claim", "", "the Idempotency-Key was used before for another call" },
            Duration(0) };
    }

    WholeAnswer toWhole(const BookingResponse& answer) { return { answer.status, answer.contentType, answer.body }; }

    constexpr const char* stillRunning = "the call with this key still runs; repeat it to ask again";

} // namespace

/// One call on its way through the state machine.
struct BookingExecutor::Call {
    const Request* request;
    const std::function<void(Duration)>* onAnswer;
    std::string key;
    TimePoint deadline;
    BookingClaim claim;
    int64_t claimRevision { 0 }; ///< Condition of the claim's last write.
    Duration askPause { firstAskPause };
    RequestFailure failure {}; ///< Last failure of the service.
};

/// Makes sure that the table's entry of a call ends, also on an exception.
class BookingExecutor::CallScope {
public:
    CallScope(ClaimTable& claims, const Call& call)
        : m_claims(&claims)
        , m_call(&call)
    {
    }
    ~CallScope()
    {
        // A call that was sent and has no result recorded by now has none.
        if (!m_claims->abandon(m_call->key, m_call->claim.token()))
            m_claims->markUnknown(m_call->key, m_call->claim.token());
    }
    CallScope(const CallScope&) = delete;
    CallScope& operator=(const CallScope&) = delete;

private:
    ClaimTable* m_claims;
    const Call* m_call;
};

BookingExecutor::BookingExecutor(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey,
    StoreClient& store, const GossipTable& gossip, RequestExecutor& executor)
    : m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_fleetKey(std::move(fleetKey))
    , m_gossip(&gossip)
    , m_executor(&executor)
    , m_store(store)
{
}

std::variant<WholeAnswer, RequestFailure> BookingExecutor::run(
    const Request& request, const std::function<void(Duration)>& onAnswer)
{
    Call call { &request, &onAnswer, claimKey(request), request.arrival + request.window,
        BookingClaim(m_incarnation, randomId(), callHash(request)) };
    if (auto joined = joinRunningCall(call))
        return std::move(*joined);
    const CallScope scope(m_claims, call);
    auto action = BookingClaim::start();
    for (;;) {
        auto step = std::visit([&](const auto& present) { return perform(call, present); }, action);
        if (auto* outcome = std::get_if<Outcome>(&step))
            return std::move(*outcome);
        action = call.claim.next(std::get<BookingEvent>(step));
    }
}

std::optional<BookingExecutor::Outcome> BookingExecutor::joinRunningCall(const Call& call)
{
    const auto hash = call.claim.claimedRecord().bodyHash;
    while (const auto existing = m_claims.tryRegister(call.key, call.claim.token(), hash)) {
        if (existing->bodyHash != hash)
            return otherBody();
        if (existing->progress == ClaimProgress::Finished)
            return toWhole(existing->response);
        if (existing->progress == ClaimProgress::NotKnown)
            return unknown("the service gave no answer and may have run the call");
        if (existing->ended.wait_until(call.deadline) != std::future_status::ready)
            return unknown(stillRunning);
    }
    return std::nullopt;
}

ClaimAnswerMessage BookingExecutor::answer(const ClaimQueryMessage& query) const
{
    auto [progress, answer] = m_claims.query(query.key, query.token);
    return { progress, answer.status, std::move(answer.contentType), std::move(answer.body) };
}

BookingExecutor::Step BookingExecutor::writeClaim(Call& call, int64_t revision)
{
    if (monotonicNow() >= call.deadline)
        return notRun("the response window passed before the call could be claimed");
    call.claimRevision = revision;
    return m_store.claim(call.key, call.claim.claimedRecord(), revision);
}

BookingExecutor::Step BookingExecutor::perform(Call& call, const CreateClaim&) { return writeClaim(call, 0); }

BookingExecutor::Step BookingExecutor::perform(Call& call, const TakeOverClaim& action)
{
    return writeClaim(call, action.revision);
}

BookingExecutor::Step BookingExecutor::perform(Call& call, const ReadClaim&) { return m_store.read(call.key); }

BookingExecutor::Step BookingExecutor::perform(Call& call, const QueryClaimNode& action)
{
    return askNode(call.key, action.node, action.token);
}

BookingExecutor::Step BookingExecutor::perform(Call& call, const WaitForClaimNode& action)
{
    const auto now = monotonicNow();
    if (now >= call.deadline)
        return unknown(stillRunning);
    std::this_thread::sleep_for(std::min(call.askPause, call.deadline - now));
    call.askPause = std::min(2 * call.askPause, lastAskPause);
    return askNode(call.key, action.node, action.token);
}

BookingExecutor::Step BookingExecutor::perform(Call& call, const SendRequest&)
{
    // A node that was paused here must not send when the caller has given up and the claim may have expired.
    if (monotonicNow() >= call.deadline) {
        call.failure = notRun("the response window passed before the call could be sent");
        m_claims.abandon(call.key, call.claim.token());
        return BookingEvent(RequestNotRun {});
    }
    if (!m_claims.tryMarkSent(call.key, call.claim.token())) {
        call.failure = notRun("the claim was given up");
        return BookingEvent(RequestNotRun {});
    }
    const auto sentAt = monotonicNow();
    auto result = m_executor->run(*call.request);
    if (auto* whole = std::get_if<WholeAnswer>(&result)) {
        (*call.onAnswer)(monotonicNow() - sentAt);
        return BookingEvent(
            ServiceResponded { { whole->status, std::move(whole->contentType), std::move(whole->body) } });
    }
    call.failure = std::move(std::get<RequestFailure>(result));
    if (call.failure.outcome == RequestOutcome::NotRun)
        return BookingEvent(RequestNotRun {});
    return BookingEvent(ServiceOutcomeUnknown {});
}

BookingExecutor::Step BookingExecutor::perform(Call& call, const RecordResponse& action)
{
    auto end = call.claim.claimedRecord();
    if (action.response.body.size() <= maxKeptAnswerBytes) {
        end.state = ClaimState::Answered;
        end.response = action.response;
        m_claims.finish(call.key, end.token, action.response);
    } else {
        // The caller gets the answer now; a repeat cannot get it again.
        end.state = ClaimState::Unknown;
        m_claims.markUnknown(call.key, end.token);
    }
    m_store.settle(call.key, end, action.revision);
    return toWhole(action.response);
}

BookingExecutor::Step BookingExecutor::perform(Call& call, const RecordUnknown& action)
{
    auto end = call.claim.claimedRecord();
    end.state = ClaimState::Unknown;
    m_claims.markUnknown(call.key, end.token);
    m_store.settle(call.key, end, action.revision);
    return call.failure;
}

BookingExecutor::Step BookingExecutor::perform(Call& call, const RecordNotRun& action)
{
    auto end = call.claim.claimedRecord();
    end.state = ClaimState::Released;
    m_claims.markNotRun(call.key, end.token);
    m_store.settle(call.key, end, action.revision);
    return call.failure;
}

BookingExecutor::Step BookingExecutor::perform(Call& call, const ReplyWithResponse& action)
{
    // Kept, so that a repeat gets it while the store is down.
    m_claims.finish(call.key, call.claim.token(), action.response);
    return toWhole(action.response);
}

BookingExecutor::Step BookingExecutor::perform(Call& call, const ReplyNotRun& action)
{
    m_claims.abandon(call.key, call.claim.token());
    if (action.mayClaimExist)
        m_store.release(call.key, call.claim.claimedRecord(), call.claimRevision);
    return notRun("the store cannot take the claim at present");
}

BookingExecutor::Step BookingExecutor::perform(Call& call, const ReplyKeyReused&)
{
    m_claims.removeClaim(call.key, call.claim.token());
    return otherBody();
}

BookingExecutor::Step BookingExecutor::perform(Call& call, const ReplyUnknown&)
{
    m_claims.removeClaim(call.key, call.claim.token());
    return unknown("an earlier call with this key may have run and its answer is not known");
}

BookingEvent BookingExecutor::askNode(
    const std::string& key, const std::string& incarnation, const std::string& token) const
{
    if (incarnation == m_incarnation) {
        auto [progress, answer] = m_claims.query(key, token);
        return ClaimNodeReply { progress, std::move(answer) };
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
        const auto received = socket.receive();
        if (const auto* answer = std::get_if<ClaimAnswerMessage>(&received))
            return ClaimNodeReply { answer->progress, { answer->status, answer->contentType, answer->body } };
    } catch (const Exception& exception) {
        logError(LogSeverity::Debug, "claim_query_failed", exception.error());
    }
    return ClaimNodeUnresponsive {};
}

} // namespace cyclamenstair

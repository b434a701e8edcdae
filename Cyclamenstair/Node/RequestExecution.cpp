#include <Cyclamenstair/Node/RequestExecution.h>

#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    /// Retry-After value of failed requests.
    constexpr Duration retryAfterFailure = milliseconds(1000);

    /// Time after which next() returns without an event, so that a disconnected caller is detected.
    constexpr Duration maxNextWait = milliseconds(100);

    /// Time after which an idle stream gets a keep-alive comment, which event stream parsers ignore. Only a write
    /// detects that the caller has disconnected.
    constexpr Duration keepAliveInterval = milliseconds(1000);

    /// Interval between checks whether a late attempt can be hedged.
    constexpr Duration hedgeCheckInterval = milliseconds(20);

    /// Delay before the first retry; it doubles up to the maximum. The first retry is quick because another target may
    /// be free, while after a failed round over all targets the next one needs time to succeed.
    constexpr Duration minBackoff = milliseconds(4);
    constexpr Duration maxBackoff = milliseconds(1000);
    constexpr uint32_t maxBackoffShift = 8;

    /// Interval between checks for a target with capacity for long work.
    constexpr Duration capacityCheckInterval = milliseconds(20);

    /// Maximum time between two calls of processEvents() that is not attributed to a slow caller.
    constexpr Duration maxProcessingGap = milliseconds(20);

    constexpr int minServerErrorStatus = 500;

    bool isFailedStatus(int status)
    {
        return status >= minServerErrorStatus || status == 499 || status == 429 || status == 408;
    }

    bool isSuccess(int status) { return status >= 200 && status < 300; }

} // namespace

RequestExecution::RequestExecution(ExecutorState& state, Request request)
    : m_state(&state)
    , m_request(std::move(request))
    , m_completionBody(CompletionBody::parse(m_request))
    , m_inbox(std::make_shared<AttemptInbox>())
{
    const auto now = monotonicNow();
    if (m_request.arrival == TimePoint())
        m_request.arrival = now;
    if (m_completionBody) {
        m_maxTokens = m_completionBody->maxTokens();
        m_work = state.estimator.estimate(m_request.artifact, m_maxTokens);
    }
    m_retryDeadline = m_request.arrival + milliseconds(state.settings.request->repeat_limit_ms);
    // The second half of the response window remains for the caller to retry through another node.
    m_notRunDeadline = std::min(m_retryDeadline, m_request.arrival + m_request.window / 2);
    m_processingEndedAt = now;
    m_lastSentAt = now;
    state.hedgeBudget.recordRequest();
}

std::optional<RequestFailure> RequestExecution::waitForHead()
{
    while (!m_hasHead && !m_failure)
        processEvents(monotonicNow() + maxNextWait, true);
    return m_hasHead ? std::nullopt : m_failure;
}

AttemptEvent RequestExecution::next()
{
    processEvents(monotonicNow() + maxNextWait, false);
    if (!m_outgoing.empty()) {
        auto event = std::move(m_outgoing.front());
        m_outgoing.pop_front();
        m_lastSentAt = m_processingEndedAt;
        return event;
    }
    if (m_isFinished)
        return AttemptFailed { true, m_lastError };
    if (!m_isEventStream || m_processingEndedAt - m_lastSentAt < keepAliveInterval)
        return AttemptPending {};
    m_lastSentAt = m_processingEndedAt;
    return AttemptData { ": waiting\n\n" };
}

void RequestExecution::processEvents(TimePoint waitDeadline, bool stopAtHead)
{
    // Time spent on writing to a slow caller does not count as a delay of the target.
    const auto processingStartedAt = monotonicNow();
    if (processingStartedAt - m_processingEndedAt > maxProcessingGap) {
        for (const auto& attempt : m_activeAttempts)
            attempt->onProgress(processingStartedAt);
    }
    while (m_outgoing.empty() && !(stopAtHead && m_hasHead)) {
        // Events that have arrived are handled before the timers, which would otherwise treat them as late.
        if (auto event = m_inbox->next(TimePoint())) {
            handle(std::move(*event));
            continue;
        }
        const auto now = monotonicNow();
        if (!m_isFinished)
            handleTimers(now);
        if (m_isFinished || now >= waitDeadline)
            break;
        if (auto event = m_inbox->next(std::min(waitDeadline, nextTimerAt())))
            handle(std::move(*event));
    }
    m_processingEndedAt = monotonicNow();
}

void RequestExecution::handle(InboxEvent event)
{
    const auto found = std::find_if(m_activeAttempts.begin(), m_activeAttempts.end(),
        [&](const auto& attempt) { return attempt->parameters().number == event.attempt; });
    if (found == m_activeAttempts.end())
        return; // The attempt was cancelled.
    auto& attempt = **found;
    std::visit(Overloaded {
                   [&](const AttemptHead& head) { handleHead(attempt, head, event.receivedAt); },
                   [&](const AttemptData& data) { handleData(attempt, data.bytes, event.receivedAt); },
                   [&](const AttemptEnd&) { handleEnd(attempt, event.receivedAt); },
                   [&](const AttemptFailed& failed) {
                       if (m_isStreamDone)
                           handleEnd(attempt, event.receivedAt);
                       else
                           handleFailure(attempt, failed.mayHaveRun, false, failed.message, event.receivedAt);
                   },
                   [](const AttemptPending&) {},
               },
        event.event);
}

void RequestExecution::handleHead(ActiveAttempt& attempt, const AttemptHead& head, TimePoint now)
{
    attempt.onHead(head, now);
    if (head.isNotRun) {
        handleFailure(attempt, false, true, "the target rejected the request without running it", now);
        return;
    }
    if (m_request.isRepeatable && isFailedStatus(head.status)) {
        handleFailure(attempt, true, false, "the target responded with status " + std::to_string(head.status), now);
        return;
    }
    const bool isEventStream = m_request.isStream && isSuccess(head.status);
    if (m_hasHead) {
        // A stream can only be resumed by another event stream.
        if (!isEventStream)
            handleFailure(
                attempt, true, false, "the target did not respond to the resumed request with an event stream", now);
        return;
    }
    m_head = head;
    m_isEventStream = isEventStream;
    if (isEventStream)
        m_hasHead = true;
    else
        cancelOthers(attempt);
}

void RequestExecution::handleData(ActiveAttempt& attempt, const std::string& bytes, TimePoint now)
{
    if (m_isStreamDone)
        return;
    if (!m_isEventStream) {
        attempt.onProgress(now);
        attempt.responseBody() += bytes;
        return;
    }
    attempt.eventParser().append(bytes);
    handleStreamEvents(attempt, now);
}

void RequestExecution::handleStreamEvents(ActiveAttempt& attempt, TimePoint now)
{
    std::string events;
    bool isError = false;
    while (auto event = attempt.eventParser().next()) {
        isError = event->isError;
        if (isError)
            break;
        // Every attempt sends events before its first token; those of later attempts are duplicates.
        const bool isPreamble = !event->hasToken && !event->hasFinishReason && !event->isStreamDone;
        if (isPreamble && m_respondingAttempt != 0 && m_respondingAttempt != attempt.parameters().number)
            continue;
        m_respondingAttempt = attempt.parameters().number;
        if (event->hasToken) {
            attempt.onToken(now);
            ++m_deliveredTokens;
        }
        if (!isPreamble && m_activeAttempts.size() > 1)
            cancelOthers(attempt);
        events += event->text;
        m_isStreamDone = event->isStreamDone;
        if (m_isStreamDone)
            break;
        if (!isPreamble)
            m_lastTarget = attempt.target();
    }
    if (!events.empty())
        m_outgoing.emplace_back(AttemptData { std::move(events) });
    if (isError || attempt.eventParser().isEventTooLong())
        handleFailure(attempt, true, false, "the stream contains an error event or one longer than 1 MiB", now);
}

void RequestExecution::handleEnd(ActiveAttempt& attempt, TimePoint now)
{
    if (m_isEventStream) {
        if (!m_isStreamDone) {
            handleFailure(attempt, true, false, "the stream ended without its [DONE] event", now);
            return;
        }
        attempt.complete(true, m_maxTokens, now);
        finish();
        return;
    }
    // A response that is delimited by the end of the connection may be truncated; invalid JSON reveals it.
    if (m_completionBody && isSuccess(m_head.status) && !nlohmann::json::accept(attempt.responseBody())) {
        handleFailure(attempt, true, false, "the response is truncated: its body is not valid JSON", now);
        return;
    }
    attempt.complete(false, m_maxTokens, now);
    m_hasHead = true;
    m_outgoing.emplace_back(AttemptData { std::move(attempt.responseBody()) });
    finish();
}

void RequestExecution::finish()
{
    m_activeAttempts.clear();
    m_isFinished = true;
    m_outgoing.emplace_back(AttemptEnd {});
}

void RequestExecution::handleTimers(TimePoint now)
{
    for (size_t index = m_activeAttempts.size(); index-- > 0 && index < m_activeAttempts.size();) {
        if (now >= m_activeAttempts[index]->idleDeadline())
            handleFailure(
                *m_activeAttempts[index], true, false, "the target sent nothing within the idle timeout", now);
    }
    if (m_isFinished)
        return;
    if (m_activeAttempts.empty()) {
        if (now >= m_retryAt)
            startOrScheduleRetry(now);
        return;
    }
    hedgeIfLate(now);
}

TimePoint RequestExecution::nextTimerAt() const
{
    if (m_activeAttempts.empty())
        return m_retryAt;
    auto earliest = TimePoint::max();
    for (const auto& attempt : m_activeAttempts) {
        earliest = std::min(earliest, attempt->idleDeadline());
        if (const auto late = attempt->lateAt())
            earliest = std::min(earliest, std::max(*late, m_nextHedgeCheckAt));
    }
    return earliest;
}

void RequestExecution::hedgeIfLate(TimePoint now)
{
    bool isLate = true;
    for (const auto& attempt : m_activeAttempts) {
        const auto late = attempt->lateAt();
        isLate = isLate && late && now >= *late;
        if (late && now >= *late && now >= m_nextHedgeCheckAt)
            attempt->reportPending(now);
    }
    if (now < m_nextHedgeCheckAt)
        return;
    m_nextHedgeCheckAt = now + hedgeCheckInterval;
    if (!isLate || m_activeAttempts.size() > 1 || !m_request.isRepeatable || m_isStreamDone || now >= m_retryDeadline)
        return;
    auto alternatives = candidates(false);
    std::erase_if(alternatives,
        [&](const auto& alternative) { return alternative.target == m_activeAttempts.front()->target(); });
    if (!alternatives.empty())
        startAttempt(std::move(alternatives), true, now);
}

void RequestExecution::startOrScheduleRetry(TimePoint now)
{
    if (now >= m_retryDeadline) {
        failRequest(m_mayHaveRun ? RequestOutcome::Broken : RequestOutcome::NotRun, ErrorKind::Unavailable);
        return;
    }
    auto usableCandidates = candidates(false);
    if (usableCandidates.empty()) {
        // No candidate is left in this round. A request that did not run fails if there never was a candidate, it is
        // not repeatable or its deadline has passed.
        const bool shouldFail = m_attemptCount == 0 || !m_request.isRepeatable || now >= m_notRunDeadline;
        if (!m_mayHaveRun && shouldFail) {
            if (m_attemptCount == 0)
                m_lastError = "no target has loaded '" + m_request.artifact + "'";
            failRequest(RequestOutcome::NotRun, ErrorKind::Unavailable);
            return;
        }
        m_failedTargets.clear();
        usableCandidates = candidates(true);
    }
    if (!startAttempt(std::move(usableCandidates), false, now))
        scheduleRetry(now);
}

bool RequestExecution::startAttempt(std::vector<RouteCandidate> candidates, bool isHedge, TimePoint now)
{
    RouteQuery query;
    query.pool = m_completionBody ? "engines" : "service/" + m_request.artifact;
    query.failureDomain = m_state->settings.node->failure_domain;
    query.work = m_work;
    if (m_completionBody)
        query.prefixHash = m_completionBody->prefixHash();
    // A retry has already lost time, and a request that is not repeatable cannot be hedged.
    query.mayProbe = m_attemptCount == 0 && m_request.isRepeatable && m_request.priority != Priority::High;
    query.now = now;
    const auto maxLongInFlight = static_cast<uint32_t>(m_state->settings.routing->long_in_flight_per_target);
    for (;;) {
        const auto choice = m_state->router.pick(candidates, query, threadRandom());
        if (!choice)
            return false;
        auto candidate = std::move(candidates[*choice]);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(*choice));
        if (!m_state->targets.tryBeginAttempt(candidate.target, m_work, maxLongInFlight))
            continue;
        const bool isWithinBudget = isHedge
            ? m_state->hedgeBudget.tryAcquire()
            : m_attemptCount == 0 || m_state->retryBudget.tryAcquire(candidate.target, now);
        if (!isWithinBudget) {
            m_state->targets.cancelAttempt(candidate.target, m_work);
            return false;
        }
        if (m_attemptCount == 0)
            m_state->retryBudget.recordFirstAttempt(candidate.target, now);
        else if (!isHedge)
            m_state->hedgeBudget.chargeAttempt();
        AttemptParameters parameters { ++m_attemptCount, std::move(candidate), query.pool, m_work, m_deliveredTokens,
            false };
        parameters.isProbe = m_state->detector.isOnProbation(query.pool, parameters.candidate.target);
        m_lastTarget = parameters.candidate.target;
        if (parameters.number > 1) {
            logEvent(LogSeverity::Debug, isHedge ? "attempt_hedged" : "attempt_repeated",
                { { "request_id", m_request.id }, { "target", parameters.candidate.target },
                    { "attempt", std::to_string(parameters.number) },
                    { "resume_from", std::to_string(m_deliveredTokens) } });
        }
        m_activeAttempts.push_back(
            std::make_unique<ActiveAttempt>(*m_state, m_request, m_completionBody, std::move(parameters), m_inbox));
        return true;
    }
}

std::vector<RouteCandidate> RequestExecution::candidates(bool includeFailed) const
{
    auto all = m_state->directory->candidates(m_request.artifact);
    if (!includeFailed)
        std::erase_if(all, [&](const auto& candidate) { return m_failedTargets.contains(candidate.target); });
    return all;
}

void RequestExecution::scheduleRetry(TimePoint now)
{
    // Before the first attempt, long work waits for capacity on a target; this is not a failure and needs no backoff.
    auto maxDelay = capacityCheckInterval;
    if (m_attemptCount > 0)
        maxDelay = std::min(maxBackoff, minBackoff * (1 << std::min(m_backoffCount++, maxBackoffShift)));
    // Jitter spreads the retries of requests that failed at the same time.
    m_retryAt
        = now + maxDelay / 2 + Duration(randomIndex(threadRandom(), static_cast<size_t>(maxDelay.count() / 2 + 1)));
}

void RequestExecution::handleFailure(
    ActiveAttempt& attempt, bool mayHaveRun, bool isRefusal, const std::string& message, TimePoint now)
{
    attempt.fail(isRefusal, now);
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_lastError = message;
    m_lastTarget = attempt.target();
    m_failedTargets.insert(attempt.target());
    logEvent(LogSeverity::Info, "attempt_failed",
        { { "request_id", m_request.id }, { "target", attempt.target() },
            { "attempt", std::to_string(attempt.parameters().number) }, { "message", message } });
    removeAttempt(attempt);
    if (!m_activeAttempts.empty())
        return;
    if (m_mayHaveRun && !m_request.isRepeatable) {
        failRequest(RequestOutcome::Unknown, ErrorKind::Unknown);
        return;
    }
    scheduleRetry(now);
}

void RequestExecution::removeAttempt(const ActiveAttempt& attempt)
{
    std::erase_if(m_activeAttempts, [&](const auto& active) { return active.get() == &attempt; });
}

void RequestExecution::cancelOthers(const ActiveAttempt& winner)
{
    std::erase_if(m_activeAttempts, [&](const auto& active) { return active.get() != &winner; });
}

void RequestExecution::failRequest(RequestOutcome outcome, ErrorKind kind)
{
    m_isFinished = true;
    m_failure = RequestFailure { outcome, { kind, "request.attempt", m_lastTarget, m_lastError },
        outcome == RequestOutcome::Broken ? Duration(0) : retryAfterFailure };
}

} // namespace cyclamenstair

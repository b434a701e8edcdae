#include <Cyclamenstair/RequestFlow/RequestMachine.h>

#include <Cyclamenstair/Core/Hash.h>
#include <Cyclamenstair/Core/Overloaded.h>

#include <algorithm>

namespace cyclamenstair {

RequestMachine::RequestMachine(
    RequestInfo requestInfo, const RequestFlowSettings& settings, RequestDependencies dependencies)
    : m_requestInfo(std::move(requestInfo))
    , m_settings(&settings)
    , m_dependencies(dependencies)
{
    m_query
        = { m_requestInfo.service, m_requestInfo.model, m_requestInfo.adapter, {}, m_requestInfo.promptTokens, false };
    m_query.softwareVersion = m_requestInfo.requiredVersion;
}

std::vector<RequestAction> RequestMachine::start(TimePoint now)
{
    Actions actions;
    // The node that relays a request counts it.
    if (!m_requestInfo.model.empty() && !m_requestInfo.isRelayed)
        m_dependencies.demand->countArrival(artifact(), now);
    acquireTarget(now, actions);
    return actions;
}

std::vector<RequestAction> RequestMachine::handle(const RequestEvent& event, TimePoint now)
{
    Actions actions;
    if (m_phase == Phase::Finished)
        return actions;
    std::visit([&](const auto& alternative) { on(alternative, now, actions); }, event);
    if (m_phase == Phase::Finished)
        cancelAlternative(TargetAttemptResult::Inconclusive, now, actions);
    return actions;
}

std::optional<TimePoint> RequestMachine::nextTimerAt() const
{
    if (m_phase == Phase::Finished)
        return std::nullopt;
    TimePoint nextTimer = m_requestInfo.deadline();
    if (m_phase == Phase::Waiting)
        nextTimer = std::min(nextTimer, m_nextAcquireAt);
    if (const auto limit = stallDeadline())
        nextTimer = std::min(nextTimer, *limit);
    if (const auto overdueAt = nextOverdueAt())
        nextTimer = std::min(nextTimer, *overdueAt);
    if (m_holdEndsAt)
        nextTimer = std::min({ nextTimer, *m_holdEndsAt, m_originCheckedAt + m_settings->originCheckInterval });
    return nextTimer;
}

void RequestMachine::on(const ResponseStarted& event, TimePoint now, Actions& actions)
{
    if (isAlternative(event.attempt)) {
        onAlternativeStarted(event, now, actions);
        return;
    }
    if (!isCurrentAttempt(event.attempt) || m_phase != Phase::Sent)
        return;
    const auto& head = event.head;
    applyStatements(head, *m_current, now, actions);
    m_lastProgressAt = now;
    if (head.isSuccess() && m_answerProgress == AnswerProgress::NotStarted)
        m_answerProgress = AnswerProgress::Started;
    if (!head.matchesRequestId || (head.isSuccess() && !head.hasReceipt)) {
        // A response to another request, or one without a receipt. The connection must not be reused.
        cancelCurrent(TargetAttemptResult::Failed, now, actions);
        retryOrFail(true, "foreign_answer", now, actions);
        return;
    }
    if (head.isNotRun || head.isMisdirected) {
        cancelCurrent(head.isMisdirected ? TargetAttemptResult::Absent : TargetAttemptResult::Full, now, actions);
        retryOrFail(false, head.isMisdirected ? "target_absent" : "target_full", now, actions);
        return;
    }
    const bool isFailure = head.isFailure();
    if (isFailure && m_requestInfo.route.isRetryable() && !m_isHeadSent && !m_current->isRelayed()) {
        const auto otherTarget = m_alternative ? std::nullopt : acquireAlternative(now);
        if (m_alternative || otherTarget) {
            // Some failures of plain services are caused by the request itself; those of an engine indicate a faulty
            // engine.
            cancelCurrent(isStream() ? TargetAttemptResult::Failed : TargetAttemptResult::Inconclusive, now, actions);
            m_mayHaveRun = true;
            if (otherTarget)
                startAlternative(*otherTarget, now, actions);
            else
                adoptAlternative(now);
            return;
        }
    }
    cancelAlternative(TargetAttemptResult::Inconclusive, now, actions);
    if (m_isHeadSent) {
        // The stream resumes at this target; the caller already has the head of the first response.
        if (head.isSuccess()) {
            m_phase = Phase::Forwarding;
            return;
        }
        cancelCurrent(TargetAttemptResult::Inconclusive, now, actions);
        retryOrFail(true, "resume_failed", now, actions);
        return;
    }
    m_head = head;
    if (isStream() && head.isSuccess()) {
        m_isHeadSent = true;
        m_phase = Phase::Forwarding;
        actions.emplace_back(ForwardHead { event.attempt, std::nullopt, m_current->softwareVersion });
    } else {
        m_phase = Phase::Buffering;
    }
}

void RequestMachine::applyStatements(const ResponseInfo& head, Attempt& attempt, TimePoint now, Actions& actions)
{
    auto* const target = attempt.target();
    if (!target) {
        attempt.softwareVersion = head.softwareVersion;
        return;
    }
    if (head.isLeaving && m_dependencies.targets->markLeaving(*target))
        actions.emplace_back(ReportStatement { TargetStatement::Leaving, Duration(0) });
    if (head.pause) {
        const auto until = m_dependencies.targets->pause(*target, *head.pause, now);
        actions.emplace_back(ReportStatement { TargetStatement::Paused, until - now });
    }
    const bool isOfTarget = head.matchesRequestId && !head.isMisdirected;
    if (isOfTarget && m_dependencies.targets->recordBrittleness(*target, head.brittleLimit, now))
        actions.emplace_back(
            ReportStatement { head.brittleLimit ? TargetStatement::Brittle : TargetStatement::NotBrittle, Duration(0),
                head.brittleLimit.value_or(0) });
    m_dependencies.targets->markPromptRead(*target);
}

void RequestMachine::on(const ResponseContinued& event, TimePoint now, Actions& actions)
{
    if (!isCurrentAttempt(event.attempt) || m_phase == Phase::Sent)
        return;
    if (m_phase == Phase::Buffering) {
        recordProgress(now, actions);
        m_bufferedBody += event.data;
        if (m_bufferedBody.size() > m_settings->maxBufferedBytes) {
            m_isHeadSent = true;
            m_phase = Phase::Forwarding;
            actions.emplace_back(ForwardHead { event.attempt, std::nullopt, m_current->softwareVersion });
            actions.emplace_back(ForwardData { std::exchange(m_bufferedBody, {}) });
        }
        return;
    }
    if (!isStream()) {
        recordProgress(now, actions);
        actions.emplace_back(ForwardData { event.data });
        return;
    }
    m_eventParser.append(event.data);
    forwardCompleteEvents(now, actions);
    if (m_eventParser.size() > m_settings->maxEventBytes) {
        cancelCurrent(TargetAttemptResult::Failed, now, actions);
        retryOrFail(true, "event_too_large", now, actions);
    }
}

void RequestMachine::on(const ResponseCompleted& event, TimePoint now, Actions& actions)
{
    if (isAlternative(event.attempt)) {
        on(AttemptDisconnected { event.attempt, true }, now, actions);
        return;
    }
    if (!isCurrentAttempt(event.attempt))
        return;
    if (m_phase == Phase::Sent) {
        on(AttemptDisconnected { event.attempt, true }, now, actions);
        return;
    }
    if (m_phase == Phase::Buffering) {
        actions.emplace_back(ForwardHead { event.attempt, m_bufferedBody.size(), m_current->softwareVersion });
        if (!m_bufferedBody.empty())
            actions.emplace_back(ForwardData { std::move(m_bufferedBody) });
    } else if (isStream() && (!m_eventParser.isEmpty() || (!event.isFramed && !m_firstEventAt))) {
        // A stream that ends inside an event was broken off, and so was one without events that ends with its
        // connection.
        on(AttemptDisconnected { event.attempt, true, !event.isFramed }, now, actions);
        return;
    }
    // A connection that ends is no proof: that of a target that fails ends as well.
    if (event.isFramed)
        recordAnswerProgress(true, now);
    endAttempt(TargetAttemptResult::Good, now);
    // A complete answer need not be resumable.
    if (!m_heldEvents.empty())
        actions.emplace_back(ForwardData { std::exchange(m_heldEvents, {}) });
    actions.emplace_back(FinishResponse {});
    finish();
}

void RequestMachine::on(const AttemptDisconnected& event, TimePoint now, Actions& actions)
{
    const bool isOfAlternative = isAlternative(event.attempt);
    if (!isOfAlternative && !isCurrentAttempt(event.attempt))
        return;
    if (event.wasSent && event.isClosedByTarget && m_answerProgress != AnswerProgress::Continued)
        recordLostAnswer(isOfAlternative ? *m_alternative : *m_current, now, actions);
    if (isOfAlternative) {
        m_mayHaveRun = m_mayHaveRun || event.wasSent;
        m_sentAttempts -= event.wasSent ? 0 : 1;
        release(*m_alternative, TargetAttemptResult::Failed, now);
        m_alternative.reset();
        m_lastProgressAt = now;
        return;
    }
    endAttempt(TargetAttemptResult::Failed, now);
    // A response that has started proves that the request was sent.
    if (!event.wasSent && m_phase == Phase::Sent) {
        // Nothing was sent, so the attempt counts neither against the route's maximum nor against the retry budget.
        --m_sentAttempts;
        if (m_alternative)
            adoptAlternative(now);
        else
            acquireTarget(now, actions);
        return;
    }
    retryOrFail(true, "connection_lost", now, actions);
}

void RequestMachine::recordLostAnswer(Attempt& attempt, TimePoint now, Actions& actions)
{
    const auto* target = attempt.target();
    // The end of a node is no evidence against the prompt.
    if (!target)
        return;
    const auto attemptId = stableHash(m_requestInfo.id, attempt.number);
    // The nodes of a large fleet see too little of a target to tell a single lost answer from the end of its process.
    if (m_dependencies.targets->isLargeFleet() && !m_requestInfo.promptParts.isEmpty())
        actions.emplace_back(ReportLostAnswer { *target, attemptId });
    else
        m_dependencies.quarantine->addLostAnswer(m_requestInfo.promptParts, attemptId, now);
}

void RequestMachine::on(const RelayRefused& event, TimePoint now, Actions& actions)
{
    const auto& refusal = event.refusal;
    const bool isNotRun = refusal.kind == RelayRefusalKind::NotAccepted || refusal.kind == RelayRefusalKind::NotRun;
    const auto result = isNotRun ? TargetAttemptResult::Full : TargetAttemptResult::Inconclusive;
    const bool isOfAlternative = isAlternative(event.attempt);
    if (refusal.kind == RelayRefusalKind::NotAccepted && (isOfAlternative || isCurrentAttempt(event.attempt))) {
        m_dependencies.relays->avoid(event.peer, now);
        // The peer may accept the request once it is not avoided any more.
        m_triedPeers.erase(event.peer);
        --m_sentAttempts;
    }
    if (isOfAlternative) {
        cancelAlternative(result, now, actions);
        m_lastProgressAt = now;
        return;
    }
    if (!isCurrentAttempt(event.attempt) || m_phase != Phase::Sent)
        return;
    cancelCurrent(result, now, actions);
    m_mayHaveRun = m_mayHaveRun || !isNotRun;
    if (m_alternative) {
        adoptAlternative(now);
        return;
    }
    switch (refusal.kind) {
    case RelayRefusalKind::NotAccepted:
        acquireTarget(now, actions);
        break;
    case RelayRefusalKind::NotRun:
        refuseFor(refusal.retryAfter.value_or(m_settings->retryAfterAbsent), refusal.reason, now, actions);
        break;
    case RelayRefusalKind::Failed:
        fail(LocalResponseKind::Failed, refusal.reason, now, actions);
        break;
    case RelayRefusalKind::TimedOut:
        fail(LocalResponseKind::TimedOut, refusal.reason, now, actions);
        break;
    }
}

void RequestMachine::on(const CallerDisconnected&, TimePoint now, Actions& actions)
{
    if (m_current)
        cancelCurrent(TargetAttemptResult::Inconclusive, now, actions);
    finish();
}

void RequestMachine::on(const ForwardingPaused&, TimePoint, Actions&) { m_isForwardingPaused = true; }

void RequestMachine::on(const ForwardingResumed&, TimePoint now, Actions&)
{
    m_isForwardingPaused = false;
    m_lastProgressAt = now;
}

void RequestMachine::on(const NodeStopping&, TimePoint now, Actions& actions)
{
    if (m_current) {
        cancelCurrent(TargetAttemptResult::Inconclusive, now, actions);
        m_mayHaveRun = true;
    }
    // Other nodes can serve what has not run at once.
    refuseFor(Duration(0), "stopping", now, actions);
}

void RequestMachine::on(const TimerFired&, TimePoint now, Actions& actions)
{
    if (now >= m_requestInfo.deadline()) {
        timeOut(now, actions);
        return;
    }
    markOverdueAttempts(now);
    releaseHeldEvents(now, actions);
    if (m_phase == Phase::Waiting && now >= m_nextAcquireAt) {
        acquireTarget(now, actions);
        return;
    }
    const auto limit = stallDeadline();
    if (!limit || now < *limit)
        return;
    if (const auto destination = acquireAlternative(now)) {
        // An unanswered attempt at a target that this node has lost does not count: its connection is reset, which
        // drops what the target has not received.
        if (std::holds_alternative<RelayPeer>(*destination) && isAlternativeLost(now))
            --m_sentAttempts;
        cancelAlternative(TargetAttemptResult::Failed, now, actions);
        startAlternative(*destination, now, actions);
    } else {
        m_lastProgressAt = now;
    }
}

void RequestMachine::forwardCompleteEvents(TimePoint now, Actions& actions)
{
    std::string events;
    while (auto event = m_eventParser.next()) {
        if (!event->id.empty())
            m_lastEventId = event->id;
        events += event->text;
    }
    if (events.empty())
        return;
    recordVersionOfStream(now);
    recordProgress(now, actions);
    recordAnswerProgress(false, now);
    if (!m_holdEndsAt) {
        actions.emplace_back(ForwardData { std::move(events) });
        return;
    }
    m_heldEvents += events;
    releaseHeldEvents(now, actions);
}

void RequestMachine::recordVersionOfStream(TimePoint now)
{
    if (m_query.softwareVersion)
        return;
    m_query.softwareVersion = m_current->softwareVersion;
    m_dependencies.origins->record(m_requestInfo.id, *m_query.softwareVersion, now);
    // The node that has the target's answer holds the events of a relayed request.
    if (!m_current->isRelayed() && m_requestInfo.route.isRetryable() && m_dependencies.origins->areWritesExpected())
        m_holdEndsAt = now + m_settings->maxOriginHold;
}

void RequestMachine::releaseHeldEvents(TimePoint now, Actions& actions)
{
    m_originCheckedAt = now;
    if (!m_holdEndsAt || (now < *m_holdEndsAt && !m_dependencies.origins->isWritten(m_requestInfo.id)))
        return;
    m_holdEndsAt.reset();
    if (!m_heldEvents.empty())
        actions.emplace_back(ForwardData { std::exchange(m_heldEvents, {}) });
}

void RequestMachine::recordAnswerProgress(bool isComplete, TimePoint now)
{
    if (!m_firstEventAt)
        m_firstEventAt = now;
    const bool hadContinued = m_answerProgress == AnswerProgress::Continued;
    const bool isProven = isComplete || now - *m_firstEventAt >= m_settings->answerProofTime;
    if (!hadContinued)
        m_answerProgress = isProven ? AnswerProgress::Continued : AnswerProgress::Started;
    if (isProven && !hadContinued)
        m_dependencies.quarantine->addContinuedAnswer(m_requestInfo.promptParts, now);
}

void RequestMachine::discardPartialAnswer()
{
    m_bufferedBody.clear();
    m_eventParser.takeRemainder();
}

void RequestMachine::retryOrFail(bool mayHaveRun, const std::string& reason, TimePoint now, Actions& actions)
{
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    discardPartialAnswer();
    // A stream can resume after its last complete event, or restart if no event has been forwarded.
    const bool isPartiallySent = m_isHeadSent && !isStream();
    const bool isRetryable = !m_mayHaveRun || m_requestInfo.route.isRetryable();
    if (refuseQuarantined(now, actions))
        return;
    if (m_alternative) {
        adoptAlternative(now);
        return;
    }
    if (!isPartiallySent && isRetryable && consumeRetry(now)) {
        acquireTarget(now, actions);
        return;
    }
    fail(m_mayHaveRun ? LocalResponseKind::Failed : LocalResponseKind::NotRun, reason, now, actions);
}

bool RequestMachine::refuseQuarantined(TimePoint now, Actions& actions)
{
    const auto timeLeft = m_dependencies.quarantine->timeUntilAllowed(m_requestInfo.promptParts, now);
    if (!timeLeft)
        return false;
    cancelAlternative(TargetAttemptResult::Inconclusive, now, actions);
    refuseFor(*timeLeft, "prompt_part_quarantined", now, actions);
    return true;
}

void RequestMachine::refuseFor(Duration wait, const std::string& reason, TimePoint now, Actions& actions)
{
    if (m_mayHaveRun || m_isHeadSent) {
        fail(LocalResponseKind::Failed, reason, now, actions);
        return;
    }
    actions.emplace_back(SendLocalResponse { LocalResponseKind::NotRun, reason, wait });
    finish();
}

void RequestMachine::setCountedAsWaiting(bool isWaiting)
{
    if (isWaiting == m_isCountedAsWaiting || m_requestInfo.model.empty())
        return;
    m_dependencies.demand->countWaiting(artifact(), isWaiting ? 1 : -1);
    m_isCountedAsWaiting = isWaiting;
}

void RequestMachine::fail(LocalResponseKind kind, const std::string& reason, TimePoint now, Actions& actions,
    std::optional<AcquireFailure> failure)
{
    if (m_isHeadSent) {
        actions.emplace_back(AbortResponse {});
    } else {
        SendLocalResponse response { kind, reason, std::nullopt };
        if (kind == LocalResponseKind::NotRun)
            response.retryAfter = retryAfter(failure, now);
        actions.emplace_back(std::move(response));
    }
    finish();
}

Duration RequestMachine::retryAfter(std::optional<AcquireFailure> failure, TimePoint now) const
{
    auto wait = m_lastAttempt == 0 ? m_settings->retryAfterAbsent : m_settings->retryAfterFull;
    if (failure == AcquireFailure::ModelAbsent || failure == AcquireFailure::EnginesOverloaded)
        wait += m_requestInfo.modelLoadTime;
    return std::min(withRandomSpread(wait),
        std::chrono::duration_cast<Duration>((m_requestInfo.deadline() - now) * m_settings->maxRetryAfterFraction));
}

Duration RequestMachine::withRandomSpread(Duration wait) const
{
    return wait
        + std::chrono::duration_cast<Duration>(
            wait * (m_settings->retryAfterSpread * randomUnit(*m_dependencies.random)));
}

void RequestMachine::timeOut(TimePoint now, Actions& actions)
{
    const bool isAttemptRunning = m_current.has_value();
    if (isAttemptRunning)
        cancelCurrent(TargetAttemptResult::Inconclusive, now, actions);
    fail(isAttemptRunning || m_mayHaveRun ? LocalResponseKind::TimedOut : LocalResponseKind::NotRun, "deadline", now,
        actions);
}

void RequestMachine::finish()
{
    setCountedAsWaiting(false);
    if (!m_requestInfo.model.empty() && !m_requestInfo.isRelayed)
        m_dependencies.demand->countCompletion(artifact());
    m_phase = Phase::Finished;
}

} // namespace cyclamenstair

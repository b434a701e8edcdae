// The attempts of RequestMachine: how targets are acquired, waited for, exchanged and released.

#include <Cyclamenstair/RequestFlow/RequestMachine.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <algorithm>

namespace cyclamenstair {

void RequestMachine::onAlternativeStarted(const ResponseStarted& event, TimePoint now, Actions& actions)
{
    const auto& head = event.head;
    const bool isRefused = head.isNotRun || head.isMisdirected;
    const bool isAnswer = head.isSuccess() ? head.hasReceipt : !head.isFailure() && !m_isHeadSent;
    if (head.matchesRequestId && !isRefused && isAnswer) {
        cancelCurrent(TargetAttemptResult::Failed, now, actions);
        m_mayHaveRun = true;
        adoptAlternative(now);
        on(event, now, actions);
        return;
    }
    applyStatements(head, *m_alternative, now, actions);
    cancelAlternative(head.isMisdirected ? TargetAttemptResult::Absent
            : head.isNotRun              ? TargetAttemptResult::Full
                                         : TargetAttemptResult::Failed,
        now, actions);
    m_lastProgressAt = now;
}

void RequestMachine::adoptAlternative(TimePoint now)
{
    discardPartialAnswer();
    m_current = std::exchange(m_alternative, std::nullopt);
    m_phase = Phase::Sent;
    m_firstEventAt.reset();
    m_lastProgressAt = now;
}

void RequestMachine::cancelAlternative(TargetAttemptResult result, TimePoint now, Actions& actions)
{
    if (!m_alternative)
        return;
    actions.emplace_back(CancelAttempt { m_alternative->number });
    release(*m_alternative, result, now);
    m_mayHaveRun = m_mayHaveRun || (result != TargetAttemptResult::Full && result != TargetAttemptResult::Absent);
    m_alternative.reset();
}

void RequestMachine::recordProgress(TimePoint now, Actions& actions)
{
    m_lastProgressAt = now;
    cancelAlternative(TargetAttemptResult::Inconclusive, now, actions);
}

void RequestMachine::cancelCurrent(TargetAttemptResult result, TimePoint now, Actions& actions)
{
    actions.emplace_back(CancelAttempt { m_current->number });
    endAttempt(result, now);
}

bool RequestMachine::isAlternativeReplaceable() const
{
    return m_alternative && !m_alternative->isRelayed() && m_dependencies.reach && !m_requestInfo.isRelayed;
}

bool RequestMachine::isAlternativeLost(TimePoint now) const
{
    return isAlternativeReplaceable() && m_dependencies.reach->isCutOff(now);
}

std::optional<RequestMachine::Destination> RequestMachine::acquireAlternative(TimePoint now)
{
    const bool isUsedUp = m_sentAttempts >= m_requestInfo.route.maxAttempts;
    if ((isUsedUp && !isAlternativeLost(now))
        || m_dependencies.quarantine->timeUntilAllowed(m_requestInfo.promptParts, now))
        return std::nullopt;
    if (const auto peer = acquireRelay(now)) {
        if (m_dependencies.retries->tryAcquire(m_requestInfo.service, now))
            return *peer;
        m_dependencies.relays->release(peer->id);
        return std::nullopt;
    }
    if (isUsedUp)
        return std::nullopt;
    const auto outcome = m_dependencies.targets->acquire(m_query, now, *m_dependencies.random);
    const auto* target = std::get_if<AcquiredTarget>(&outcome);
    if (!target)
        return std::nullopt;
    if (m_dependencies.retries->tryAcquire(m_requestInfo.service, now))
        return *target;
    m_dependencies.targets->release(*target, m_query, TargetAttemptResult::Inconclusive, now);
    return std::nullopt;
}

void RequestMachine::startAlternative(const Destination& destination, TimePoint now, Actions& actions)
{
    std::visit(Overloaded {
                   [&](const AcquiredTarget& target) { startAttempt(target, now, actions); },
                   [&](const RelayPeer& peer) { startRelay(peer, now, actions); },
               },
        destination);
}

std::optional<RelayPeer> RequestMachine::acquireRelay(TimePoint now)
{
    if (m_requestInfo.isRelayed || !m_dependencies.reach || !m_dependencies.reach->isIsolated())
        return std::nullopt;
    return m_dependencies.relays->acquire(m_triedPeers, now, *m_dependencies.random);
}

bool RequestMachine::waitForRelay(TimePoint now, Actions& actions)
{
    if (m_requestInfo.isRelayed || !m_dependencies.reach || !m_dependencies.reach->isCutOff(now))
        return false;
    if (m_dependencies.relays->hasReachingPeer())
        waitForTarget(AcquireFailure::NoTarget, now, actions);
    else
        fail(m_mayHaveRun ? LocalResponseKind::Failed : LocalResponseKind::NotRun, "targets_unreachable", now, actions);
    return true;
}

void RequestMachine::acquireTarget(TimePoint now, Actions& actions)
{
    if (now >= m_requestInfo.deadline()) {
        timeOut(now, actions);
        return;
    }
    if (refuseQuarantined(now, actions) || !requireVersionOfStream(now, actions))
        return;
    if (const auto peer = acquireRelay(now)) {
        startRelay(*peer, now, actions);
        return;
    }
    if (waitForRelay(now, actions))
        return;
    const auto maxWait
        = std::chrono::duration_cast<Duration>(m_requestInfo.route.targetLatency * m_settings->maxPromptWaitFraction);
    m_query.excludesBacklogged
        = m_requestInfo.promptTokens > 0 && m_sentAttempts == 0 && now < m_requestInfo.receivedAt + maxWait;
    m_query.excludesOverloaded = m_sentAttempts == 0;
    std::visit(Overloaded {
                   [&](const AcquiredTarget& target) { startAttempt(target, now, actions); },
                   [&](AcquireFailure failure) { waitForTarget(failure, now, actions); },
                   [&](TargetsPaused paused) { waitForPauseEnd(paused.until, now, actions); },
               },
        m_dependencies.targets->acquire(m_query, now, *m_dependencies.random));
}

bool RequestMachine::requireVersionOfStream(TimePoint now, Actions& actions)
{
    if (m_query.softwareVersion || !m_requestInfo.resumedRequest)
        return true;
    m_query.softwareVersion = m_dependencies.origins->find(*m_requestInfo.resumedRequest);
    if (!m_query.softwareVersion)
        m_query.softwareVersion = m_dependencies.versions->soleVersion(m_requestInfo.service, now);
    if (m_query.softwareVersion)
        return true;
    if (now < m_requestInfo.receivedAt + m_settings->streamOriginWait) {
        m_phase = Phase::Waiting;
        m_nextAcquireAt = now + m_settings->acquireInterval;
    } else {
        // Until all versions but one are forgotten, the stream could go on at the wrong one. A node that does not know
        // the versions, since it has just started or is cut off, learns them soon, or another one knows them.
        const auto wait
            = m_dependencies.versions->isCurrent(now) ? SoftwareVersions::lifetime : m_settings->retryAfterAbsent;
        refuseFor(wait, "stream_version_unknown", now, actions);
    }
    return false;
}

void RequestMachine::startAttempt(const AcquiredTarget& target, TimePoint now, Actions& actions)
{
    setCountedAsWaiting(false);
    if (m_sentAttempts == 0)
        m_dependencies.retries->recordFirstAttempt(m_requestInfo.service, now);
    ++m_lastAttempt;
    ++m_sentAttempts;
    m_query.excluded.insert(target.id);
    m_query.excludesBacklogged = false;
    m_query.excludesOverloaded = false;
    Attempt attempt { m_lastAttempt, target, std::nullopt, target.softwareVersion };
    if (m_dependencies.targets->isLargeFleet())
        attempt.overdueAt = now
            + std::clamp(
                std::chrono::duration_cast<Duration>(m_requestInfo.route.targetLatency * m_settings->overdueFactor),
                m_settings->minOverdueTime, m_settings->maxOverdueTime);
    addAttempt(std::move(attempt), now);
    StartAttempt start { m_lastAttempt, target, m_requestInfo.deadline() - now, std::nullopt, m_requestInfo.urgency() };
    if (!m_lastEventId.empty())
        start.resumeAfter = m_lastEventId;
    actions.emplace_back(std::move(start));
}

void RequestMachine::startRelay(const RelayPeer& peer, TimePoint now, Actions& actions)
{
    setCountedAsWaiting(false);
    m_triedPeers.insert(peer.id);
    StartRelay start { ++m_lastAttempt, peer, m_requestInfo.deadline() - now, std::nullopt, m_query.softwareVersion,
        m_requestInfo.route.maxAttempts - m_sentAttempts };
    if (!m_lastEventId.empty())
        start.resumeAfter = m_lastEventId;
    ++m_sentAttempts;
    addAttempt({ start.attempt, peer }, now);
    actions.emplace_back(std::move(start));
}

void RequestMachine::addAttempt(Attempt attempt, TimePoint now)
{
    m_lastProgressAt = now;
    if (m_current) {
        m_alternative = std::move(attempt);
        return;
    }
    m_current = std::move(attempt);
    m_phase = Phase::Sent;
    m_firstEventAt.reset();
}

void RequestMachine::release(const Attempt& attempt, TargetAttemptResult result, TimePoint now)
{
    std::visit(Overloaded {
                   [&](const AcquiredTarget& target) { m_dependencies.targets->release(target, m_query, result, now); },
                   [&](const RelayPeer& peer) {
                       m_dependencies.relays->release(peer.id);
                       if (result == TargetAttemptResult::Failed)
                           m_dependencies.relays->avoid(peer.id, now);
                   },
               },
        attempt.destination);
}

void RequestMachine::endAttempt(TargetAttemptResult result, TimePoint now)
{
    release(*m_current, result, now);
    m_current.reset();
}

std::optional<TimePoint> RequestMachine::nextOverdueAt() const
{
    std::optional<TimePoint> next;
    if (m_current && m_phase == Phase::Sent)
        next = m_current->overdueAt;
    if (m_alternative && m_alternative->overdueAt)
        next = std::min(next.value_or(*m_alternative->overdueAt), *m_alternative->overdueAt);
    return next;
}

void RequestMachine::markOverdueAttempts(TimePoint now)
{
    const auto markIfDue = [&](Attempt& attempt) {
        if (!attempt.overdueAt || now < *attempt.overdueAt)
            return;
        attempt.overdueAt.reset();
        if (auto* target = attempt.target())
            m_dependencies.targets->markOverdue(*target);
    };
    if (m_current && m_phase == Phase::Sent)
        markIfDue(*m_current);
    if (m_alternative)
        markIfDue(*m_alternative);
}

Duration RequestMachine::maxWait(AcquireFailure failure) const
{
    const auto wait
        = std::chrono::duration_cast<Duration>(m_requestInfo.route.targetLatency * m_settings->maxWaitFraction);
    if (failure == AcquireFailure::AdapterAbsent && m_dependencies.targets->isLargeFleet())
        return std::max(wait, m_settings->fleetAdapterLoadTime);
    if (failure == AcquireFailure::EnginesOverloaded)
        return std::max(wait, m_settings->overloadWait);
    return wait;
}

void RequestMachine::waitForTarget(AcquireFailure failure, TimePoint now, Actions& actions)
{
    m_phase = Phase::Waiting;
    // The first attempt waits, for a load or a registration. A request that has been sent waits only for room at
    // brittle targets, which must not refuse it again.
    const auto wait = maxWait(failure);
    // A load that is requested now ends after the wait.
    const bool isLoadTooLong = failure == AcquireFailure::ModelAbsent && m_requestInfo.modelLoadTime > wait;
    const bool isWaitAllowed = m_sentAttempts == 0 || failure == AcquireFailure::TargetsBrittle;
    const auto waitsSince = m_sentAttempts == 0 ? m_requestInfo.receivedAt : m_lastProgressAt;
    if (!isWaitAllowed || isLoadTooLong || now >= waitsSince + wait) {
        fail(m_mayHaveRun ? LocalResponseKind::Failed : LocalResponseKind::NotRun, std::string(nameOf(failure)), now,
            actions, failure);
        return;
    }
    setCountedAsWaiting(true);
    m_nextAcquireAt = now
        + (failure == AcquireFailure::TargetsBrittle ? m_settings->brittleAcquireInterval
                                                     : m_settings->acquireInterval);
}

void RequestMachine::waitForPauseEnd(TimePoint until, TimePoint now, Actions& actions)
{
    const auto maxWait
        = std::chrono::duration_cast<Duration>(m_requestInfo.route.targetLatency * m_settings->maxWaitFraction);
    if (m_sentAttempts == 0 && until <= std::min(m_requestInfo.receivedAt + maxWait, m_requestInfo.deadline())) {
        m_phase = Phase::Waiting;
        m_nextAcquireAt = until;
        return;
    }
    refuseFor(withRandomSpread(until - now), "targets_paused", now, actions);
}

std::optional<TimePoint> RequestMachine::stallDeadline() const
{
    const auto& route = m_requestInfo.route;
    const bool hasForwardedData = m_isHeadSent && !(isStream() && m_lastEventId.empty());
    const bool isUsedUp = m_sentAttempts >= route.maxAttempts;
    if (!m_current || m_isForwardingPaused || !route.isRetryable() || (isUsedUp && !isAlternativeReplaceable())
        || (hasForwardedData && !isStream()))
        return std::nullopt;
    if (isUsedUp)
        return m_lastProgressAt + m_settings->lostTargetCheckInterval;
    const auto scaled
        = [](Duration duration, double factor) { return std::chrono::duration_cast<Duration>(duration * factor); };
    const auto stallTimeout = hasForwardedData && !m_alternative
        ? std::max(scaled(route.maxEventGap, m_settings->stallTimeoutFactor), m_settings->minStallTimeout)
        : std::max(scaled(route.targetLatency, m_settings->firstByteTimeoutFactor), m_settings->minFirstByteTimeout);
    const bool isRelayed = (m_alternative ? *m_alternative : *m_current).isRelayed();
    return m_lastProgressAt + (isRelayed ? scaled(stallTimeout, m_settings->relayStallFactor) : stallTimeout);
}

bool RequestMachine::consumeRetry(TimePoint now)
{
    return m_sentAttempts < m_requestInfo.route.maxAttempts
        && m_dependencies.retries->tryAcquire(m_requestInfo.service, now);
}

} // namespace cyclamenstair

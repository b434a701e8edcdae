#include <Cyclamenstair/RequestFlow/RequestMachine.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    constexpr uint32_t firstFailureStatus = 500;

    bool isSuccess(uint32_t status) { return status >= 200 && status < 300; }

} // namespace

RequestMachine::RequestMachine(RequestFacts facts, const RequestFlowSettings& settings, RequestServices services)
    : m_facts(std::move(facts))
    , m_settings(&settings)
    , m_services(services)
{
    m_query = { m_facts.service, m_facts.model, m_facts.adapter, {}, m_facts.promptTokens, false };
}

std::vector<RequestAction> RequestMachine::start(TimePoint now)
{
    Actions actions;
    if (!m_facts.model.empty())
        m_services.demand->countArrival(artifact(), now);
    seekTarget(now, actions);
    return actions;
}

std::vector<RequestAction> RequestMachine::handle(const RequestEvent& event, TimePoint now)
{
    Actions actions;
    if (m_phase != Phase::Over)
        std::visit([&](const auto& alternative) { on(alternative, now, actions); }, event);
    return actions;
}

std::optional<TimePoint> RequestMachine::wakeAt() const
{
    if (m_phase == Phase::Over)
        return std::nullopt;
    TimePoint wake = m_facts.deadline();
    if (m_phase == Phase::Waiting)
        wake = std::min(wake, m_nextSearch);
    if (const auto limit = silenceLimit())
        wake = std::min(wake, *limit);
    return wake;
}

void RequestMachine::on(const AnswerBegan& event, TimePoint now, Actions& actions)
{
    if (!isPresent(event.attempt) || m_phase != Phase::Sent)
        return;
    const auto& head = event.head;
    m_lastProgress = now;
    m_services.targets->notePromptRead(*m_target);
    if (!head.isOwn || (isSuccess(head.status) && !head.hasReceipt)) {
        // An answer to another request, or bytes that no target vouches for. Its connection cannot be used any more.
        actions.emplace_back(CancelAttempt { m_attempt });
        endAttempt(TargetVerdict::Failed, now);
        replaceAttempt(true, "foreign_answer", now, actions);
        return;
    }
    if (head.isNotRun || head.isOtherInstance) {
        actions.emplace_back(CancelAttempt { m_attempt });
        endAttempt(head.isOtherInstance ? TargetVerdict::Absent : TargetVerdict::Full, now);
        replaceAttempt(false, head.isOtherInstance ? "target_absent" : "target_full", now, actions);
        return;
    }
    const bool isFailure = head.status >= firstFailureStatus;
    if (isFailure && m_facts.route.mayRepeat() && !m_isHeadSent) {
        if (const auto other = acquireAlternative(now)) {
            // A share of a plain service's answers are failures of the request itself; an engine's point to the engine.
            switchTo(*other, isStream() ? TargetVerdict::Failed : TargetVerdict::NoVerdict, now, actions);
            return;
        }
    }
    if (m_isHeadSent) {
        // A stream goes on at this target, under the head of the first one.
        if (isSuccess(head.status)) {
            m_phase = Phase::Forwarding;
            return;
        }
        actions.emplace_back(CancelAttempt { m_attempt });
        endAttempt(TargetVerdict::NoVerdict, now);
        replaceAttempt(true, "resume_failed", now, actions);
        return;
    }
    m_head = head;
    if (isStream() && isSuccess(head.status)) {
        m_isHeadSent = true;
        m_phase = Phase::Forwarding;
        actions.emplace_back(ForwardHead { m_attempt, std::nullopt });
    } else {
        m_phase = Phase::Holding;
    }
}

void RequestMachine::on(const AnswerContinued& event, TimePoint now, Actions& actions)
{
    if (!isPresent(event.attempt) || m_phase == Phase::Sent)
        return;
    m_lastProgress = now;
    if (m_phase == Phase::Holding) {
        m_held += event.data;
        if (m_held.size() > m_settings->maxHeldBytes) {
            m_isHeadSent = true;
            m_phase = Phase::Forwarding;
            actions.emplace_back(ForwardHead { m_attempt, std::nullopt });
            actions.emplace_back(ForwardData { std::exchange(m_held, {}) });
        }
        return;
    }
    if (!isStream()) {
        actions.emplace_back(ForwardData { event.data });
        return;
    }
    m_events.append(event.data);
    forwardEvents(actions);
}

void RequestMachine::on(const AnswerEnded& event, TimePoint now, Actions& actions)
{
    if (!isPresent(event.attempt))
        return;
    if (m_phase == Phase::Sent) {
        on(AttemptLost { event.attempt, true }, now, actions);
        return;
    }
    if (m_phase == Phase::Holding) {
        actions.emplace_back(ForwardHead { m_attempt, m_held.size() });
        if (!m_held.empty())
            actions.emplace_back(ForwardData { std::move(m_held) });
    } else if (!m_events.isEmpty()) {
        actions.emplace_back(ForwardData { m_events.takeRest() });
    }
    endAttempt(TargetVerdict::Good, now);
    actions.emplace_back(FinishAnswer {});
    finish();
}

void RequestMachine::on(const AttemptLost& event, TimePoint now, Actions& actions)
{
    if (!isPresent(event.attempt))
        return;
    endAttempt(TargetVerdict::Failed, now);
    // An answer that began shows that the request was sent.
    if (!event.wasSent && m_phase == Phase::Sent) {
        // The attempt reached nobody, so it counts neither against the route's attempts nor against the budget.
        --m_sends;
        seekTarget(now, actions);
        return;
    }
    replaceAttempt(true, "connection_lost", now, actions);
}

void RequestMachine::on(const CallerLeft&, TimePoint now, Actions& actions)
{
    if (m_target) {
        actions.emplace_back(CancelAttempt { m_attempt });
        endAttempt(TargetVerdict::NoVerdict, now);
    }
    finish();
}

void RequestMachine::on(const TimerFired&, TimePoint now, Actions& actions)
{
    if (now >= m_facts.deadline()) {
        timeOut(now, actions);
        return;
    }
    if (m_phase == Phase::Waiting && now >= m_nextSearch) {
        seekTarget(now, actions);
        return;
    }
    const auto limit = silenceLimit();
    if (!limit || now < *limit)
        return;
    if (const auto other = acquireAlternative(now)) {
        m_events.takeRest();
        switchTo(*other, TargetVerdict::Failed, now, actions);
    } else {
        m_lastProgress = now;
    }
}

std::optional<AcquiredTarget> RequestMachine::acquireAlternative(TimePoint now)
{
    if (m_sends >= m_facts.route.maxAttempts)
        return std::nullopt;
    const auto outcome = m_services.targets->acquire(m_query, now, *m_services.random);
    const auto* target = std::get_if<AcquiredTarget>(&outcome);
    if (!target)
        return std::nullopt;
    if (m_services.retries->tryAcquire(m_facts.service, now))
        return *target;
    m_services.targets->release(*target, m_query, TargetVerdict::NoVerdict, now);
    return std::nullopt;
}

void RequestMachine::switchTo(const AcquiredTarget& target, TargetVerdict verdict, TimePoint now, Actions& actions)
{
    actions.emplace_back(CancelAttempt { m_attempt });
    endAttempt(verdict, now);
    m_mayHaveRun = true;
    beginAttempt(target, now, actions);
}

void RequestMachine::seekTarget(TimePoint now, Actions& actions)
{
    if (now >= m_facts.deadline()) {
        timeOut(now, actions);
        return;
    }
    const auto patience
        = std::chrono::duration_cast<Duration>(m_facts.route.targetLatency * m_settings->promptWaitShare);
    m_query.mayWait = m_facts.promptTokens > 0 && m_sends == 0 && now < m_facts.receivedAt + patience;
    std::visit(Overloaded {
                   [&](const AcquiredTarget& target) { beginAttempt(target, now, actions); },
                   [&](TargetShortage shortage) { waitForTarget(shortage, now, actions); },
               },
        m_services.targets->acquire(m_query, now, *m_services.random));
}

void RequestMachine::beginAttempt(const AcquiredTarget& target, TimePoint now, Actions& actions)
{
    setWaitingCount(false);
    if (m_sends == 0)
        m_services.retries->recordFirstAttempt(m_facts.service, now);
    m_target = target;
    ++m_attempt;
    ++m_sends;
    m_query.excluded.insert(target.id);
    m_query.mayWait = false;
    m_phase = Phase::Sent;
    m_lastProgress = now;
    StartAttempt start { m_attempt, target, m_facts.deadline() - now, std::nullopt,
        std::min(m_facts.route.priority, 9U) };
    if (!m_lastEventId.empty())
        start.resumeAfter = m_lastEventId;
    actions.emplace_back(std::move(start));
}

void RequestMachine::forwardEvents(Actions& actions)
{
    std::string whole;
    while (auto event = m_events.next()) {
        if (!event->id.empty())
            m_lastEventId = event->id;
        whole += event->text;
    }
    if (!whole.empty())
        actions.emplace_back(ForwardData { std::move(whole) });
}

void RequestMachine::endAttempt(TargetVerdict verdict, TimePoint now)
{
    m_services.targets->release(*m_target, m_query, verdict, now);
    m_target.reset();
}

void RequestMachine::replaceAttempt(bool mayHaveRun, const std::string& reason, TimePoint now, Actions& actions)
{
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_held.clear();
    m_events.takeRest();
    // A stream can go on after its last whole event, or begin again if the caller has none.
    const bool isBroken = m_isHeadSent && !isStream();
    const bool mayRepeat = !m_mayHaveRun || m_facts.route.mayRepeat();
    if (!isBroken && mayRepeat && takeRetry(now)) {
        seekTarget(now, actions);
        return;
    }
    giveUp(m_mayHaveRun ? OwnAnswer::Failed : OwnAnswer::NotRun, reason, now, actions);
}

bool RequestMachine::takeRetry(TimePoint now)
{
    return m_sends < m_facts.route.maxAttempts && m_services.retries->tryAcquire(m_facts.service, now);
}

void RequestMachine::waitForTarget(TargetShortage shortage, TimePoint now, Actions& actions)
{
    m_phase = Phase::Waiting;
    // A request that had its targets is not held up for another one; a first attempt waits for a load or a
    // registration.
    const auto patience = std::chrono::duration_cast<Duration>(m_facts.route.targetLatency * m_settings->waitShare);
    if (m_sends > 0 || now >= m_facts.receivedAt + patience) {
        giveUp(m_mayHaveRun ? OwnAnswer::Failed : OwnAnswer::NotRun, std::string(nameOf(shortage)), now, actions,
            shortage);
        return;
    }
    setWaitingCount(true);
    m_nextSearch = now + m_settings->searchInterval;
}

void RequestMachine::setWaitingCount(bool isWaiting)
{
    if (isWaiting == m_isCountedAsWaiting || m_facts.model.empty())
        return;
    m_services.demand->countWaiting(artifact(), isWaiting ? 1 : -1);
    m_isCountedAsWaiting = isWaiting;
}

void RequestMachine::giveUp(OwnAnswer answer, const std::string& reason, TimePoint now, Actions& actions,
    std::optional<TargetShortage> shortage)
{
    if (m_isHeadSent) {
        actions.emplace_back(BreakAnswer {});
    } else {
        AnswerByNode own { answer, reason, std::nullopt };
        if (answer == OwnAnswer::NotRun)
            own.retryAfter = retryAfter(shortage, now);
        actions.emplace_back(std::move(own));
    }
    finish();
}

Duration RequestMachine::retryAfter(std::optional<TargetShortage> shortage, TimePoint now) const
{
    auto wait = m_attempt == 0 ? m_settings->absentRetryAfter : m_settings->fullRetryAfter;
    if (shortage == TargetShortage::ModelAbsent)
        wait += m_facts.modelLoadTime;
    return std::min(
        wait, std::chrono::duration_cast<Duration>((m_facts.deadline() - now) * m_settings->retryAfterShare));
}

void RequestMachine::timeOut(TimePoint now, Actions& actions)
{
    const bool isAttemptRunning = m_target.has_value();
    if (isAttemptRunning) {
        actions.emplace_back(CancelAttempt { m_attempt });
        endAttempt(TargetVerdict::NoVerdict, now);
    }
    giveUp(isAttemptRunning || m_mayHaveRun ? OwnAnswer::TimedOut : OwnAnswer::NotRun, "deadline", now, actions);
}

void RequestMachine::finish()
{
    setWaitingCount(false);
    if (!m_facts.model.empty())
        m_services.demand->countEnd(artifact());
    m_phase = Phase::Over;
}

std::optional<TimePoint> RequestMachine::silenceLimit() const
{
    const auto& route = m_facts.route;
    const bool isBegun = m_isHeadSent && !(isStream() && m_lastEventId.empty());
    if (!m_target || !route.mayRepeat() || m_sends >= route.maxAttempts || (isBegun && !isStream()))
        return std::nullopt;
    const auto times
        = [](Duration duration, double factor) { return std::chrono::duration_cast<Duration>(duration * factor); };
    const auto silence = isBegun
        ? std::max(times(route.gapTarget, m_settings->silenceFactor), m_settings->minSilence)
        : std::max(times(route.targetLatency, m_settings->firstSilenceFactor), m_settings->minFirstSilence);
    return m_lastProgress + silence;
}

} // namespace cyclamenstair

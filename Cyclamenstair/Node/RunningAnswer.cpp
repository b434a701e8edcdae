#include <Cyclamenstair/Node/RunningAnswer.h>

#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    constexpr Duration retryAfterWithoutTarget = milliseconds(1000);

    /// Time after which next() returns without an event, so that a caller who went away is noticed.
    constexpr Duration pendingInterval = milliseconds(100);

    /// Time after which a silent stream gets a comment, which event streams ignore. Only a write shows that the caller
    /// is gone.
    constexpr Duration commentInterval = milliseconds(1000);

    /// Time between two checks of a late attempt whose hedge the budget refused.
    constexpr Duration hedgeCheckInterval = milliseconds(20);

    /// The pause before the first retry; it doubles up to the longest one. Other targets are idle at once, while a
    /// round over all of them that failed needs time to change anything.
    constexpr Duration firstBackoff = milliseconds(4);
    constexpr Duration longestBackoff = milliseconds(1000);
    constexpr uint32_t longestBackoffShift = 8;

    /// Time between two looks for a target with room for long work.
    constexpr Duration roomCheckInterval = milliseconds(20);

    /// Longest time between two calls of pump() that is not the caller's.
    constexpr Duration negligibleAbsence = milliseconds(20);

    constexpr int firstServerError = 500;

    bool isFailedStatus(int status)
    {
        return status >= firstServerError || status == 499 || status == 429 || status == 408;
    }

    bool isSuccess(int status) { return status >= 200 && status < 300; }

} // namespace

RunningAnswer::RunningAnswer(RequestPathState& state, Request request)
    : m_state(&state)
    , m_request(std::move(request))
    , m_completion(CompletionBody::parse(m_request))
    , m_inbox(std::make_shared<AttemptInbox>())
{
    const auto now = monotonicNow();
    if (m_request.arrival == TimePoint())
        m_request.arrival = now;
    if (m_completion) {
        m_maxTokens = m_completion->maxTokens();
        m_work = state.estimator.estimate(m_request.artifact, m_maxTokens);
    }
    m_limit = m_request.arrival + milliseconds(state.settings.request->repeat_limit_ms);
    // Half of the window is left to the caller for another try elsewhere.
    m_notRunLimit = std::min(m_limit, m_request.arrival + m_request.window / 2);
    m_leftAt = now;
    m_lastSent = now;
    state.hedgeBudget.recordRequest();
}

std::optional<RequestFailure> RunningAnswer::open()
{
    while (!m_hasHead && !m_failure)
        pump(monotonicNow() + pendingInterval, true);
    return m_hasHead ? std::nullopt : m_failure;
}

AttemptEvent RunningAnswer::next()
{
    pump(monotonicNow() + pendingInterval, false);
    if (!m_ready.empty()) {
        auto event = std::move(m_ready.front());
        m_ready.pop_front();
        m_lastSent = m_leftAt;
        return event;
    }
    if (m_isOver)
        return AttemptFailed { true, m_lastMessage };
    if (!m_isEventStream || m_leftAt - m_lastSent < commentInterval)
        return AttemptPending {};
    m_lastSent = m_leftAt;
    return AttemptData { ": waiting\n\n" };
}

void RunningAnswer::pump(TimePoint until, bool isHeadEnough)
{
    // While a slow caller keeps the thread away, nothing is late.
    const auto entered = monotonicNow();
    if (entered - m_leftAt > negligibleAbsence) {
        for (const auto& attempt : m_live)
            attempt->takeProgress(entered);
    }
    while (m_ready.empty() && !(isHeadEnough && m_hasHead)) {
        // What has arrived is handled before the timers, which could otherwise take it for late.
        if (auto event = m_inbox->next(TimePoint())) {
            handle(std::move(*event));
            continue;
        }
        const auto now = monotonicNow();
        if (!m_isOver)
            runTimers(now);
        if (m_isOver || now >= until)
            break;
        if (auto event = m_inbox->next(std::min(until, nextTimer())))
            handle(std::move(*event));
    }
    m_leftAt = monotonicNow();
}

void RunningAnswer::handle(InboxEvent event)
{
    const auto found = std::find_if(
        m_live.begin(), m_live.end(), [&](const auto& attempt) { return attempt->plan().number == event.attempt; });
    if (found == m_live.end())
        return; // An attempt that is no longer wanted.
    auto& attempt = **found;
    std::visit(Overloaded {
                   [&](const AttemptHead& head) { handleHead(attempt, head, event.receivedAt); },
                   [&](const AttemptData& data) { handleBytes(attempt, data.bytes, event.receivedAt); },
                   [&](const AttemptEnd&) { handleEnd(attempt, event.receivedAt); },
                   [&](const AttemptFailed& failed) {
                       if (m_isDone)
                           handleEnd(attempt, event.receivedAt);
                       else
                           endFailed(attempt, failed.mayHaveRun, false, failed.message, event.receivedAt);
                   },
                   [](const AttemptPending&) {},
               },
        event.event);
}

void RunningAnswer::handleHead(LiveAttempt& attempt, const AttemptHead& head, TimePoint now)
{
    attempt.takeHead(head, now);
    if (head.isNotRun) {
        endFailed(attempt, false, true, "the target refused the request", now);
        return;
    }
    if (m_request.isRepeatable && isFailedStatus(head.status)) {
        endFailed(attempt, true, false, "the target answered with status " + std::to_string(head.status), now);
        return;
    }
    const bool isEventStream = m_request.isStream && isSuccess(head.status);
    if (m_hasHead) {
        // A resumed stream cannot go on with an answer of another kind.
        if (!isEventStream)
            endFailed(attempt, true, false, "the target did not resume the stream", now);
        return;
    }
    m_head = head;
    m_isEventStream = isEventStream;
    if (isEventStream)
        m_hasHead = true;
    else
        keepOnly(attempt);
}

void RunningAnswer::handleBytes(LiveAttempt& attempt, const std::string& bytes, TimePoint now)
{
    if (m_isDone)
        return;
    if (!m_isEventStream) {
        attempt.takeProgress(now);
        attempt.body() += bytes;
        return;
    }
    attempt.splitter().append(bytes);
    handleStreamEvents(attempt, now);
}

void RunningAnswer::handleStreamEvents(LiveAttempt& attempt, TimePoint now)
{
    std::string whole;
    bool isError = false;
    while (auto event = attempt.splitter().next()) {
        isError = event->isError;
        if (isError)
            break;
        // What an attempt says before its first token is said again by each attempt.
        const bool isPreface = !event->hasToken && !event->isFinish && !event->isDone;
        if (isPreface && m_answering != 0 && m_answering != attempt.plan().number)
            continue;
        m_answering = attempt.plan().number;
        if (event->hasToken) {
            attempt.takeToken(now);
            ++m_delivered;
        }
        if (!isPreface && m_live.size() > 1)
            keepOnly(attempt);
        whole += event->text;
        m_isDone = event->isDone;
        if (m_isDone)
            break;
        if (!isPreface)
            m_lastTarget = attempt.target();
    }
    if (!whole.empty())
        m_ready.emplace_back(AttemptData { std::move(whole) });
    if (isError || attempt.splitter().isTooLong())
        endFailed(attempt, true, false, "the stream has an event that is an error or too long", now);
}

void RunningAnswer::handleEnd(LiveAttempt& attempt, TimePoint now)
{
    if (m_isEventStream) {
        if (!m_isDone) {
            endFailed(attempt, true, false, "the stream ended before its last event", now);
            return;
        }
        attempt.complete(true, m_maxTokens, now);
        finish();
        return;
    }
    // An answer that ends with its connection may be cut off; a completion's JSON shows it.
    if (m_completion && isSuccess(m_head.status) && !nlohmann::json::accept(attempt.body())) {
        endFailed(attempt, true, false, "the answer is not whole", now);
        return;
    }
    attempt.complete(false, m_maxTokens, now);
    m_hasHead = true;
    m_ready.emplace_back(AttemptData { std::move(attempt.body()) });
    finish();
}

void RunningAnswer::finish()
{
    m_live.clear();
    m_isOver = true;
    m_ready.emplace_back(AttemptEnd {});
}

void RunningAnswer::runTimers(TimePoint now)
{
    for (size_t index = m_live.size(); index-- > 0 && index < m_live.size();) {
        if (now >= m_live[index]->silentAt())
            endFailed(*m_live[index], true, false, "the target was silent for too long", now);
    }
    if (m_isOver)
        return;
    if (m_live.empty()) {
        if (now >= m_retryAt)
            startOrWait(now);
        return;
    }
    hedgeIfLate(now);
}

TimePoint RunningAnswer::nextTimer() const
{
    if (m_live.empty())
        return m_retryAt;
    auto earliest = TimePoint::max();
    for (const auto& attempt : m_live) {
        earliest = std::min(earliest, attempt->silentAt());
        if (const auto late = attempt->lateAt())
            earliest = std::min(earliest, std::max(*late, m_hedgeCheckAt));
    }
    return earliest;
}

void RunningAnswer::hedgeIfLate(TimePoint now)
{
    bool isLate = true;
    for (const auto& attempt : m_live) {
        const auto late = attempt->lateAt();
        isLate = isLate && late && now >= *late;
        if (late && now >= *late && now >= m_hedgeCheckAt)
            attempt->reportWaiting(now);
    }
    if (now < m_hedgeCheckAt)
        return;
    m_hedgeCheckAt = now + hedgeCheckInterval;
    if (!isLate || m_live.size() > 1 || !m_request.isRepeatable || m_isDone || now >= m_limit)
        return;
    auto others = candidates(false);
    std::erase_if(others, [&](const auto& other) { return other.target == m_live.front()->target(); });
    if (!others.empty())
        startAttempt(std::move(others), true, now);
}

void RunningAnswer::startOrWait(TimePoint now)
{
    if (now >= m_limit) {
        giveUp(m_mayHaveRun ? RequestOutcome::Broken : RequestOutcome::NotRun, ErrorKind::Unavailable);
        return;
    }
    auto usable = candidates(false);
    if (usable.empty()) {
        // Every candidate failed: a request that may not be repeated, or that nobody took for long, is given up.
        const bool isHopeless = m_attempts == 0 || !m_request.isRepeatable || now >= m_notRunLimit;
        if (!m_mayHaveRun && isHopeless) {
            if (m_attempts == 0)
                m_lastMessage = "no target holds '" + m_request.artifact + "'";
            giveUp(RequestOutcome::NotRun, ErrorKind::Unavailable);
            return;
        }
        m_tried.clear();
        usable = candidates(true);
    }
    if (!startAttempt(std::move(usable), false, now))
        scheduleRetry(now);
}

bool RunningAnswer::startAttempt(std::vector<RouteCandidate> candidates, bool isExtra, TimePoint now)
{
    RouteQuery query;
    query.pool = m_completion ? "engines" : "service/" + m_request.artifact;
    query.failureDomain = m_state->settings.node->failure_domain;
    query.work = m_work;
    if (m_completion)
        query.prefixHash = m_completion->prefixHash();
    // A repeat has lost time already, and a call that may not be repeated cannot be hedged.
    query.mayProbe = m_attempts == 0 && m_request.isRepeatable && m_request.priority != Priority::High;
    query.now = now;
    const auto maxLong = static_cast<uint32_t>(m_state->settings.routing->long_in_flight_per_target);
    for (;;) {
        const auto choice = m_state->router.pick(candidates, query, threadRandom());
        if (!choice)
            return false;
        auto candidate = std::move(candidates[*choice]);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(*choice));
        if (!m_state->targets.tryBeginAttempt(candidate.target, m_work, maxLong))
            continue;
        const bool isAllowed = isExtra ? m_state->hedgeBudget.tryAcquire()
                                       : m_attempts == 0 || m_state->retryBudget.tryAcquire(candidate.target, now);
        if (!isAllowed) {
            m_state->targets.cancelAttempt(candidate.target, m_work);
            return false;
        }
        if (m_attempts == 0)
            m_state->retryBudget.recordFirstAttempt(candidate.target, now);
        else if (!isExtra)
            m_state->hedgeBudget.chargeAttempt();
        AttemptPlan plan { ++m_attempts, std::move(candidate), query.pool, m_work, m_delivered, false };
        plan.isProbe = m_state->detector.isOnProbation(query.pool, plan.candidate.target);
        m_lastTarget = plan.candidate.target;
        if (plan.number > 1) {
            logEvent(LogSeverity::Debug, isExtra ? "attempt_hedged" : "attempt_repeated",
                { { "request_id", m_request.id }, { "target", plan.candidate.target },
                    { "attempt", std::to_string(plan.number) }, { "resume_from", std::to_string(m_delivered) } });
        }
        m_live.push_back(std::make_unique<LiveAttempt>(*m_state, m_request, m_completion, std::move(plan), m_inbox));
        return true;
    }
}

std::vector<RouteCandidate> RunningAnswer::candidates(bool withTried) const
{
    auto all = m_state->directory->candidates(m_request.artifact);
    if (!withTried)
        std::erase_if(all, [&](const auto& candidate) { return m_tried.contains(candidate.target); });
    return all;
}

void RunningAnswer::scheduleRetry(TimePoint now)
{
    // Before the first attempt, long work waits for room at a target, which is no failure.
    auto longest = roomCheckInterval;
    if (m_attempts > 0)
        longest = std::min(longestBackoff, firstBackoff * (1 << std::min(m_retries++, longestBackoffShift)));
    // The jitter keeps requests that failed together from coming back together.
    m_retryAt = now + longest / 2 + Duration(randomIndex(threadRandom(), static_cast<size_t>(longest.count() / 2 + 1)));
}

void RunningAnswer::endFailed(
    LiveAttempt& attempt, bool mayHaveRun, bool isRefusal, const std::string& message, TimePoint now)
{
    attempt.fail(isRefusal, now);
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_lastMessage = message;
    m_lastTarget = attempt.target();
    m_tried.insert(attempt.target());
    logEvent(LogSeverity::Info, "attempt_failed",
        { { "request_id", m_request.id }, { "target", attempt.target() },
            { "attempt", std::to_string(attempt.plan().number) }, { "message", message } });
    remove(attempt);
    if (!m_live.empty())
        return;
    if (m_mayHaveRun && !m_request.isRepeatable) {
        giveUp(RequestOutcome::Unknown, ErrorKind::Unknown);
        return;
    }
    scheduleRetry(now);
}

void RunningAnswer::remove(const LiveAttempt& attempt)
{
    std::erase_if(m_live, [&](const auto& live) { return live.get() == &attempt; });
}

void RunningAnswer::keepOnly(const LiveAttempt& winner)
{
    std::erase_if(m_live, [&](const auto& live) { return live.get() != &winner; });
}

void RunningAnswer::giveUp(RequestOutcome outcome, ErrorKind kind)
{
    m_isOver = true;
    m_failure = RequestFailure { outcome, { kind, "request.attempt", m_lastTarget, m_lastMessage },
        outcome == RequestOutcome::Broken ? Duration(0) : retryAfterWithoutTarget };
}

} // namespace cyclamenstair

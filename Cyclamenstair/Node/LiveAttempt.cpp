#include <Cyclamenstair/Node/LiveAttempt.h>

#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    /// Added to expected and actual times before they are compared; differences below it are noise.
    constexpr Duration comparisonFloor = milliseconds(5);

    /// Tokens from which on the time between tokens is worth a sample.
    constexpr uint32_t minTokensForRate = 8;

    /// Multiple of the expected time of a whole answer for which a silent target is waited for beside the setting.
    constexpr int silenceFactor = 4;

    double slownessOf(Duration actual, Duration expected)
    {
        return toSeconds(actual + comparisonFloor) / toSeconds(expected + comparisonFloor);
    }

    /// Slowness of an attempt that is late. The time from which on it counts as late is above the noise, and a floor
    /// would hide a straggler whose hedges win soon after that time.
    double lateSlownessOf(Duration actual, Duration expected)
    {
        return toSeconds(actual) / std::max(1e-6, toSeconds(expected));
    }

} // namespace

LiveAttempt::LiveAttempt(RequestPathState& state, const Request& request,
    const std::optional<CompletionBody>& completion, AttemptPlan plan, std::shared_ptr<AttemptInbox> inbox)
    : m_state(&state)
    , m_plan(std::move(plan))
    , m_artifact(request.artifact)
    , m_isStream(request.isStream)
    , m_startedAt(monotonicNow())
    , m_lastProgress(m_startedAt)
{
    m_upstream
        = UpstreamAttempt::start(state.threads, std::move(inbox), m_plan.number, httpRequest(request, completion));
}

LiveAttempt::~LiveAttempt()
{
    if (m_isSettled)
        return;
    const auto now = monotonicNow();
    // A straggler whose hedges always win would give no answer; the wait so far is a lower bound of its time.
    const auto late = lateAt();
    if (const auto expected = expectedFirst(); !m_hasFirst && expected && late && now >= *late)
        m_state->detector.observeCancelled(m_plan.pool, target(), lateSlownessOf(now - m_startedAt, *expected), now);
    m_state->targets.cancelAttempt(target(), m_plan.work);
}

AttemptRequest LiveAttempt::httpRequest(const Request& request, const std::optional<CompletionBody>& completion) const
{
    AttemptRequest http;
    http.address = m_plan.candidate.address;
    http.method = request.method;
    http.path = request.path;
    http.contentType = request.contentType;
    const auto attempt = std::to_string(m_plan.number);
    http.headers["X-Request-Id"] = request.id;
    http.headers["X-Attempt"] = attempt;
    if (!request.idempotencyKey.empty())
        http.headers["Idempotency-Key"] = request.idempotencyKey;
    if (completion) {
        http.body = completion->encode(enginePriority(request.priority, m_plan.work.workClass), m_plan.resumeFrom);
        http.cancelBody = nlohmann::json { { "request_id", request.id }, { "attempt", attempt } }.dump();
    } else {
        http.body = request.body;
    }
    http.idleTimeout = silentAt() - m_lastProgress;
    return http;
}

void LiveAttempt::takeHead(const AttemptHead& head, TimePoint now)
{
    takeProgress(now);
    if (head.reportedLoad >= 0)
        m_state->targets.recordLoadReport(target(), head.reportedLoad, now);
    // Errors of the caller are answered at once and say nothing about the target's speed.
    if (!m_isStream && head.status < 300)
        observeFirst(now);
}

void LiveAttempt::takeToken(TimePoint now)
{
    takeProgress(now);
    if (!m_hasFirst) {
        m_firstTokenAt = now;
        observeFirst(now);
    }
    ++m_tokens;
    if (m_tokens % minTokensForRate != 0)
        return;
    const auto perToken = (now - m_firstTokenAt) / (m_tokens - 1);
    if (const auto expected = m_state->estimator.tokenTime(m_artifact)) {
        // No floor here: the mean over several tokens is steady enough.
        m_state->detector.observe(m_plan.pool, target(), SpeedKind::PerToken,
            toSeconds(perToken) / std::max(1e-6, toSeconds(*expected)), now);
    }
    m_state->estimator.observeTokenTime(m_artifact, perToken);
}

void LiveAttempt::complete(bool isStream, uint32_t maxTokens, TimePoint now)
{
    m_isSettled = true;
    m_state->targets.endAttempt(target(), true, m_plan.work, now);
    if (isStream)
        m_state->estimator.observeResponseTokens(m_artifact, maxTokens, m_plan.resumeFrom + m_tokens);
}

void LiveAttempt::fail(bool isRefusal, TimePoint now)
{
    m_isSettled = true;
    m_state->targets.endAttempt(target(), false, m_plan.work, now);
    if (!isRefusal)
        m_state->detector.observeFailure(m_plan.pool, target(), now);
}

void LiveAttempt::reportWaiting(TimePoint now)
{
    if (const auto expected = expectedFirst(); !m_hasFirst && expected)
        m_state->detector.observePending(m_plan.pool, target(), lateSlownessOf(now - m_startedAt, *expected), now);
}

std::optional<TimePoint> LiveAttempt::lateAt() const
{
    if (m_hasFirst)
        return m_isStream ? std::optional(m_lastProgress + m_state->estimator.stallThreshold(m_artifact))
                          : std::nullopt;
    const auto expected = expectedFirst();
    if (!expected)
        return std::nullopt;
    return m_startedAt
        + (m_plan.isProbe ? m_state->estimator.probeLateThreshold(*expected)
                          : m_state->estimator.lateThreshold(*expected));
}

TimePoint LiveAttempt::silentAt() const
{
    const auto limit = milliseconds(m_state->settings.request->idle_timeout_ms);
    const auto expected = m_isStream ? std::nullopt : expectedFirst();
    return m_lastProgress + limit + silenceFactor * expected.value_or(Duration(0));
}

std::optional<Duration> LiveAttempt::expectedFirst() const
{
    return m_isStream ? m_state->estimator.firstTokenTime(m_artifact)
                      : m_state->estimator.bufferedResponseTime(m_artifact, m_plan.work.tokens);
}

void LiveAttempt::observeFirst(TimePoint now)
{
    const auto actual = now - m_startedAt;
    if (const auto expected = expectedFirst())
        m_state->detector.observe(m_plan.pool, target(), SpeedKind::FirstToken, slownessOf(actual, *expected), now);
    m_hasFirst = true;
    if (m_isStream)
        m_state->estimator.observeFirstTokenTime(m_artifact, actual);
    else
        m_state->estimator.observeBufferedResponseTime(m_artifact, actual, m_plan.work.tokens);
}

} // namespace cyclamenstair

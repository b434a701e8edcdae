#include <Cyclamenstair/Node/ActiveAttempt.h>

#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    /// Added to expected and actual times before they are compared, because smaller differences are noise.
    constexpr Duration slownessFloor = milliseconds(5);

    /// Number of tokens per sample of the time per token.
    constexpr uint32_t tokensPerRateSample = 8;

    /// Multiple of the expected time of a buffered response that is added to the configured idle timeout.
    constexpr int idleTimeoutFactor = 4;

    double slownessOf(Duration actual, Duration expected)
    {
        return toSeconds(actual + slownessFloor) / toSeconds(expected + slownessFloor);
    }

    /// Slowness of a late attempt that has not responded. Uses no floor: the lateness threshold is already above the
    /// noise, and a floor would hide a straggler whose hedges win soon after the threshold.
    double pendingSlownessOf(Duration actual, Duration expected)
    {
        return toSeconds(actual) / std::max(1e-6, toSeconds(expected));
    }

} // namespace

ActiveAttempt::ActiveAttempt(ExecutorState& state, const Request& request,
    const std::optional<CompletionBody>& completion, AttemptParameters parameters, std::shared_ptr<AttemptInbox> inbox)
    : m_state(&state)
    , m_parameters(std::move(parameters))
    , m_artifact(request.artifact)
    , m_isStream(request.isStream)
    , m_startedAt(monotonicNow())
    , m_lastProgressAt(m_startedAt)
{
    m_upstream = UpstreamAttempt::start(
        state.threads, std::move(inbox), m_parameters.number, makeHttpRequest(request, completion));
}

ActiveAttempt::~ActiveAttempt()
{
    if (m_hasEnded)
        return;
    const auto now = monotonicNow();
    // A straggler whose hedges always win would never be observed; the elapsed time is a lower bound of its response
    // time.
    const auto late = lateAt();
    if (const auto expected = expectedFirstResponseTime(); !m_hasFirstResponse && expected && late && now >= *late)
        m_state->detector.observeCancelled(
            m_parameters.pool, target(), pendingSlownessOf(now - m_startedAt, *expected), now);
    m_state->targets.cancelAttempt(target(), m_parameters.work);
}

AttemptRequest ActiveAttempt::makeHttpRequest(
    const Request& request, const std::optional<CompletionBody>& completion) const
{
    AttemptRequest http;
    http.address = m_parameters.candidate.address;
    http.method = request.method;
    http.path = request.path;
    http.contentType = request.contentType;
    const auto attemptNumber = std::to_string(m_parameters.number);
    http.headers["X-Request-Id"] = request.id;
    http.headers["X-Attempt"] = attemptNumber;
    if (!request.idempotencyKey.empty())
        http.headers["Idempotency-Key"] = request.idempotencyKey;
    if (completion) {
        http.body = completion->encode(
            enginePriority(request.priority, m_parameters.work.workClass), m_parameters.resumeFrom);
        http.cancelBody = nlohmann::json { { "request_id", request.id }, { "attempt", attemptNumber } }.dump();
    } else {
        http.body = request.body;
    }
    http.idleTimeout = idleDeadline() - m_lastProgressAt;
    return http;
}

void ActiveAttempt::onHead(const AttemptHead& head, TimePoint now)
{
    onProgress(now);
    if (head.reportedLoad >= 0)
        m_state->targets.recordLoadReport(target(), head.reportedLoad, now);
    // Error responses are quick and say nothing about the target's speed.
    if (!m_isStream && head.status < 300)
        observeFirstResponse(now);
}

void ActiveAttempt::onToken(TimePoint now)
{
    onProgress(now);
    if (!m_hasFirstResponse) {
        m_firstTokenAt = now;
        observeFirstResponse(now);
    }
    ++m_tokenCount;
    if (m_tokenCount % tokensPerRateSample != 0)
        return;
    const auto perToken = (now - m_firstTokenAt) / (m_tokenCount - 1);
    if (const auto expected = m_state->estimator.tokenTime(m_artifact)) {
        // No floor: the mean over several tokens has little noise.
        m_state->detector.observe(m_parameters.pool, target(), SpeedKind::PerToken,
            toSeconds(perToken) / std::max(1e-6, toSeconds(*expected)), now);
    }
    m_state->estimator.observeTokenTime(m_artifact, perToken);
}

void ActiveAttempt::complete(bool isStream, uint32_t maxTokens, TimePoint now)
{
    m_hasEnded = true;
    m_state->targets.endAttempt(target(), true, m_parameters.work, now);
    if (isStream)
        m_state->estimator.observeResponseTokens(m_artifact, maxTokens, m_parameters.resumeFrom + m_tokenCount);
}

void ActiveAttempt::fail(bool isRefusal, TimePoint now)
{
    m_hasEnded = true;
    m_state->targets.endAttempt(target(), false, m_parameters.work, now);
    if (!isRefusal)
        m_state->detector.observeFailure(m_parameters.pool, target(), now);
}

void ActiveAttempt::reportPending(TimePoint now)
{
    if (const auto expected = expectedFirstResponseTime(); !m_hasFirstResponse && expected)
        m_state->detector.observePending(
            m_parameters.pool, target(), pendingSlownessOf(now - m_startedAt, *expected), now);
}

std::optional<TimePoint> ActiveAttempt::lateAt() const
{
    if (m_hasFirstResponse)
        return m_isStream ? std::optional(m_lastProgressAt + m_state->estimator.stallThreshold(m_artifact))
                          : std::nullopt;
    const auto expected = expectedFirstResponseTime();
    if (!expected)
        return std::nullopt;
    return m_startedAt
        + (m_parameters.isProbe ? m_state->estimator.probeLateThreshold(*expected)
                                : m_state->estimator.lateThreshold(*expected));
}

TimePoint ActiveAttempt::idleDeadline() const
{
    const auto configuredIdleTimeout = milliseconds(m_state->settings.request->idle_timeout_ms);
    const auto expected = m_isStream ? std::nullopt : expectedFirstResponseTime();
    return m_lastProgressAt + configuredIdleTimeout + idleTimeoutFactor * expected.value_or(Duration(0));
}

std::optional<Duration> ActiveAttempt::expectedFirstResponseTime() const
{
    return m_isStream ? m_state->estimator.firstTokenTime(m_artifact)
                      : m_state->estimator.bufferedResponseTime(m_artifact, m_parameters.work.tokens);
}

void ActiveAttempt::observeFirstResponse(TimePoint now)
{
    const auto actual = now - m_startedAt;
    if (const auto expected = expectedFirstResponseTime())
        m_state->detector.observe(
            m_parameters.pool, target(), SpeedKind::FirstToken, slownessOf(actual, *expected), now);
    m_hasFirstResponse = true;
    if (m_isStream)
        m_state->estimator.observeFirstTokenTime(m_artifact, actual);
    else
        m_state->estimator.observeBufferedResponseTime(m_artifact, actual, m_parameters.work.tokens);
}

} // namespace cyclamenstair

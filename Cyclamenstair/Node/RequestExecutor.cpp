#include <Cyclamenstair/Node/RequestExecutor.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    constexpr Duration retryAfterWithoutTarget = milliseconds(1000);

    Random& threadRandom()
    {
        thread_local Random s_random(std::random_device {}());
        return s_random;
    }

    RoutingPolicy policyFrom(schema::RoutingPolicyKind kind)
    {
        if (kind == schema::RoutingPolicyKind::RoundRobin)
            return RoundRobinPolicy {};
        return LeastInFlightPolicy {};
    }

    RequestFailure failureOf(
        RequestOutcome outcome, ErrorKind kind, const std::string& peer, const std::string& message)
    {
        return { outcome, { kind, "request.attempt", peer, message }, retryAfterWithoutTarget };
    }

} // namespace

RunningAnswer::RunningAnswer(TargetTable& targets, std::string target, std::unique_ptr<UpstreamAttempt> attempt,
    AttemptHead head, Duration idleTimeout)
    : m_targets(&targets)
    , m_target(std::move(target))
    , m_attempt(std::move(attempt))
    , m_head(std::move(head))
    , m_idleTimeout(idleTimeout)
{
}

RunningAnswer::~RunningAnswer() { m_targets->endAttempt(m_target, m_isComplete); }

AttemptEvent RunningAnswer::next()
{
    auto event = m_attempt->next(monotonicNow() + m_idleTimeout);
    if (std::holds_alternative<AttemptPending>(event))
        return AttemptFailed { true, "the target was silent for too long" };
    m_isComplete = std::holds_alternative<AttemptEnd>(event);
    return event;
}

RequestExecutor::RequestExecutor(const schema::SettingsT& settings, const TargetDirectory& directory)
    : m_settings(settings)
    , m_directory(&directory)
    , m_router(policyFrom(settings.routing->policy), m_targets, m_detector)
{
}

AttemptRequest RequestExecutor::attemptRequest(const Request& request, const std::string& address, int attempt) const
{
    AttemptRequest http;
    http.address = address;
    http.method = request.method;
    http.path = request.path;
    http.body = request.body;
    http.contentType = request.contentType;
    http.headers["X-Request-Id"] = request.id;
    http.headers["X-Attempt"] = std::to_string(attempt);
    if (!request.idempotencyKey.empty())
        http.headers["Idempotency-Key"] = request.idempotencyKey;
    http.idleTimeout = milliseconds(m_settings.request->idle_timeout_ms);
    return http;
}

std::variant<std::unique_ptr<RunningAnswer>, RequestFailure> RequestExecutor::start(const Request& request)
{
    const auto idleTimeout = milliseconds(m_settings.request->idle_timeout_ms);
    std::set<std::string> excluded;
    RouteQuery query;
    query.failureDomain = m_settings.node->failure_domain;
    query.now = monotonicNow();
    auto lastFailure
        = failureOf(RequestOutcome::NotRun, ErrorKind::Unavailable, "", "no target holds '" + request.artifact + "'");
    for (int attemptNumber = 1;; ++attemptNumber) {
        auto candidates = m_directory->candidates(request.artifact);
        std::erase_if(candidates, [&](const auto& candidate) { return excluded.contains(candidate.target); });
        const auto choice = m_router.pick(candidates, query, threadRandom());
        if (!choice)
            return lastFailure;
        const auto& candidate = candidates[*choice];
        m_targets.beginAttempt(candidate.target);
        auto attempt = UpstreamAttempt::start(attemptRequest(request, candidate.address, attemptNumber));
        const auto event = attempt->next(monotonicNow() + idleTimeout);
        const auto* head = std::get_if<AttemptHead>(&event);
        if (head && !head->isNotRun)
            return std::make_unique<RunningAnswer>(m_targets, candidate.target, std::move(attempt), *head, idleTimeout);

        // No answer from this target: decide whether another one may run the request.
        m_targets.endAttempt(candidate.target, false);
        excluded.insert(candidate.target);
        const auto* failed = std::get_if<AttemptFailed>(&event);
        const bool mayHaveRun = !head && (!failed || failed->mayHaveRun);
        if (mayHaveRun && !request.isRepeatable)
            return failureOf(RequestOutcome::Unknown, ErrorKind::Unknown, candidate.target,
                "the target gave no answer and may have run the request");
        lastFailure = failureOf(RequestOutcome::NotRun, ErrorKind::Unavailable, candidate.target,
            failed ? failed->message : "the target refused the request");
    }
}

std::variant<WholeAnswer, RequestFailure> RequestExecutor::run(const Request& request)
{
    auto started = start(request);
    if (auto* failure = std::get_if<RequestFailure>(&started))
        return std::move(*failure);
    auto& answer = *std::get<std::unique_ptr<RunningAnswer>>(started);
    WholeAnswer whole { answer.head().status, answer.head().contentType, {} };
    for (;;) {
        auto event = answer.next();
        if (std::holds_alternative<AttemptEnd>(event))
            return whole;
        if (const auto* data = std::get_if<AttemptData>(&event))
            whole.body += data->bytes;
        else if (const auto* failed = std::get_if<AttemptFailed>(&event))
            return failureOf(RequestOutcome::Unknown, ErrorKind::Unknown, answer.target(), failed->message);
    }
}

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Node/ActiveAttempt.h>

#include <deque>
#include <set>

namespace cyclamenstair {

/// Execution of one request: starts attempts on targets, retries, hedges and resumes them, and delivers the response
/// without gaps or duplicates. Used by one thread at a time. The destructor cancels attempts that still run.
class RequestExecution {
public:
    RequestExecution(ExecutorState& state, Request request);

    /// Blocks until the head of a stream or a complete buffered response has arrived. Returns a failure if no target
    /// responded.
    std::optional<RequestFailure> waitForHead();

    const AttemptHead& head() const { return m_head; }

    /// Returns the target of the latest attempt; empty before the first one.
    const std::string& target() const { return m_lastTarget; }

    /// Returns the next bytes, the end, a failure, or AttemptPending if nothing arrived within 100 ms. Never returns
    /// AttemptHead.
    AttemptEvent next();

private:
    /// Handles events and timers until there is output for the caller, the request has finished or `waitDeadline` has
    /// passed. With `stopAtHead`, also returns once the response head has arrived.
    void processEvents(TimePoint waitDeadline, bool stopAtHead);
    void handle(InboxEvent event);
    void handleHead(ActiveAttempt& attempt, const AttemptHead& head, TimePoint now);
    void handleData(ActiveAttempt& attempt, const std::string& bytes, TimePoint now);
    void handleEnd(ActiveAttempt& attempt, TimePoint now);
    void handleStreamEvents(ActiveAttempt& attempt, TimePoint now);

    void handleTimers(TimePoint now);
    TimePoint nextTimerAt() const;
    void hedgeIfLate(TimePoint now);

    /// Starts an attempt, schedules a retry, or fails the request.
    void startOrScheduleRetry(TimePoint now);
    void scheduleRetry(TimePoint now);

    /// Starts an attempt on one of the candidates. Returns false if none has capacity or the budget is exhausted; a
    /// hedge draws on the hedge budget, a retry on the retry budget.
    bool startAttempt(std::vector<RouteCandidate> candidates, bool isHedge, TimePoint now);
    std::vector<RouteCandidate> candidates(bool includeFailed) const;

    /// Ends an attempt that got no complete response, then fails the request or schedules a retry.
    void handleFailure(
        ActiveAttempt& attempt, bool mayHaveRun, bool isRefusal, const std::string& message, TimePoint now);
    void removeAttempt(const ActiveAttempt& attempt);

    /// Cancels all attempts except `winner`, which delivers the response.
    void cancelOthers(const ActiveAttempt& winner);
    void failRequest(RequestOutcome outcome, ErrorKind kind);
    void finish();

    ExecutorState* m_state;
    Request m_request;
    std::optional<CompletionBody> m_completionBody;
    AttemptWork m_work;
    uint32_t m_maxTokens { 0 };
    TimePoint m_retryDeadline; ///< No attempt starts after this time.
    TimePoint m_notRunDeadline; ///< A request that certainly did not run fails after this time.

    std::shared_ptr<AttemptInbox>
        m_inbox; ///< Shared with threads of cancelled attempts, which may outlive this object.
    std::vector<std::unique_ptr<ActiveAttempt>> m_activeAttempts;
    std::set<std::string> m_failedTargets; ///< Targets that failed in the current round over all candidates.
    uint32_t m_attemptCount { 0 };
    uint32_t m_backoffCount { 0 };
    TimePoint m_retryAt;
    TimePoint m_nextHedgeCheckAt;
    TimePoint m_processingEndedAt; ///< When processEvents() last returned.
    TimePoint m_lastSentAt; ///< When an event or a keep-alive comment was last sent to the caller.
    bool m_mayHaveRun { false };
    std::string m_lastTarget;
    std::string m_lastError;

    std::deque<AttemptEvent> m_outgoing; ///< Events not yet returned to the caller.
    AttemptHead m_head;
    bool m_hasHead { false };
    bool m_isEventStream { false };
    bool m_isStreamDone { false }; ///< `data: [DONE]` was received.
    bool m_isFinished { false };
    uint32_t m_respondingAttempt { 0 }; ///< Number of the attempt whose events were delivered last; 0 before the first.
    uint32_t m_deliveredTokens { 0 }; ///< Tokens delivered to the caller.
    std::optional<RequestFailure> m_failure;
};

} // namespace cyclamenstair

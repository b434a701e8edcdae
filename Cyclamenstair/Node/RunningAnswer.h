#pragma once

#include <Cyclamenstair/Node/LiveAttempt.h>

#include <deque>
#include <set>

namespace cyclamenstair {

/// Answer to a request that is being received: starts attempts, repeats, hedges and resumes them, and passes on the
/// answer without gap or repeat. Used by one thread at a time; cancels what still runs when it goes.
class RunningAnswer {
public:
    RunningAnswer(RequestPathState& state, Request request);

    /// Waits until a target has begun to answer: the head of a stream, or a whole answer. Returns a failure if none
    /// did.
    std::optional<RequestFailure> open();

    const AttemptHead& head() const { return m_head; }

    /// Returns the target of the last attempt; empty before the first.
    const std::string& target() const { return m_lastTarget; }

    /// Returns the next bytes, the end, a failure, or AttemptPending after a short wait. Never returns AttemptHead.
    AttemptEvent next();

private:
    /// Handles events and timers until there is something for the caller, the request is over, or `until`.
    void pump(TimePoint until, bool isHeadEnough);
    void handle(InboxEvent event);
    void handleHead(LiveAttempt& attempt, const AttemptHead& head, TimePoint now);
    void handleBytes(LiveAttempt& attempt, const std::string& bytes, TimePoint now);
    void handleEnd(LiveAttempt& attempt, TimePoint now);
    void handleStreamEvents(LiveAttempt& attempt, TimePoint now);

    void runTimers(TimePoint now);
    TimePoint nextTimer() const;
    void hedgeIfLate(TimePoint now);

    /// Starts an attempt or schedules the next try.
    void startOrWait(TimePoint now);
    void scheduleRetry(TimePoint now);

    /// Starts an attempt at one of the candidates. Returns whether it could; `isExtra` asks the hedge budget.
    bool startAttempt(std::vector<RouteCandidate> candidates, bool isExtra, TimePoint now);
    std::vector<RouteCandidate> candidates(bool withTried) const;

    /// Ends an attempt without an answer and decides what follows.
    void endFailed(LiveAttempt& attempt, bool mayHaveRun, bool isRefusal, const std::string& message, TimePoint now);
    void remove(const LiveAttempt& attempt);

    /// Cancels all attempts but the given one, which answers.
    void keepOnly(const LiveAttempt& winner);
    void giveUp(RequestOutcome outcome, ErrorKind kind);
    void finish();

    RequestPathState* m_state;
    Request m_request;
    std::optional<CompletionBody> m_completion;
    AttemptWork m_work;
    uint32_t m_maxTokens { 0 };
    TimePoint m_limit; ///< No attempt starts after it.
    TimePoint m_notRunLimit; ///< A request that no target took is given up at this time.

    std::shared_ptr<AttemptInbox> m_inbox; // Shared with the threads of cancelled attempts, which end later.
    std::vector<std::unique_ptr<LiveAttempt>> m_live;
    std::set<std::string> m_tried; ///< Targets that failed since the last round over all candidates.
    uint32_t m_attempts { 0 };
    uint32_t m_retries { 0 };
    TimePoint m_retryAt;
    TimePoint m_hedgeCheckAt;
    TimePoint m_leftAt; ///< When the caller's thread last left pump().
    TimePoint m_lastSent; ///< When the caller last got an event or a comment.
    bool m_mayHaveRun { false };
    std::string m_lastTarget;
    std::string m_lastMessage;

    std::deque<AttemptEvent> m_ready; ///< Events for the caller.
    AttemptHead m_head;
    bool m_hasHead { false };
    bool m_isEventStream { false };
    bool m_isDone { false }; ///< `data: [DONE]` was seen.
    bool m_isOver { false };
    uint32_t m_answering { 0 }; ///< Attempt whose events the caller got last; 0 before the first.
    uint32_t m_delivered { 0 }; ///< Tokens that the caller has.
    std::optional<RequestFailure> m_failure;
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Fleet/DemandCounter.h>
#include <Cyclamenstair/RequestFlow/EventBoundary.h>
#include <Cyclamenstair/RequestFlow/RequestAction.h>
#include <Cyclamenstair/RequestFlow/RequestEvent.h>
#include <Cyclamenstair/RequestFlow/RequestFacts.h>
#include <Cyclamenstair/Routing/RetryBudget.h>

#include <vector>

namespace cyclamenstair {

/// Settings of the request path.
struct RequestFlowSettings {
    /// Time between two looks for a target while none can take the request.
    Duration searchInterval { milliseconds(25) };
    /// Longest wait for a target, as a share of the route's target latency. A caller that is told early can try again;
    /// one that is held up loses its time.
    double waitShare { 0.5 };
    /// Longest wait for a target that has fewer prompts before it, as a share of the route's target latency. The target
    /// needs the rest for the prompt itself.
    double promptWaitShare { 0.4 };
    /// Time after which a caller may come back when no target holds what it needs, beside the load of a model: a
    /// decision and an unload, or the arrival of a target.
    Duration absentRetryAfter { milliseconds(1500) };
    /// Time after which a caller may come back when targets are full.
    Duration fullRetryAfter { milliseconds(300) };
    /// Largest part of the rest of the caller's time that it is asked to stay away; the remainder is for the answer.
    double retryAfterShare { 0.6 };
    /// Largest answer that is held back until it is complete, so that one that breaks off can be replaced.
    size_t maxHeldBytes { 65536 };
    /// Silence within a resumable stream, as a multiple of the route's gap target, after which it goes on elsewhere.
    double silenceFactor { 4 };
    /// Shortest silence within a stream that counts; shorter ones occur when a target reads long prompts.
    Duration minSilence { milliseconds(1000) };
    /// Time without the first part of an answer, as a multiple of the route's target latency, after which repeatable
    /// work goes to another target. Callers leave after four times the target latency.
    double firstSilenceFactor { 2.4 };
    /// Shortest such time; plain services answer within it under load.
    Duration minFirstSilence { milliseconds(400) };
};

/// Shared decisions that a request takes part in.
struct RequestServices {
    TargetRegistry* targets { nullptr };
    RetryBudget* retries { nullptr };
    DemandCounter* demand { nullptr };
    Random* random { nullptr };
};

/// Life of one request, without I/O: takes events and returns the actions that they lead to.
///
/// Before the first byte of a request is written it has not run. After that, only the target's own statement says so:
/// requests that may run once only are then neither sent again nor refused as not run.
class RequestMachine {
public:
    RequestMachine(RequestFacts facts, const RequestFlowSettings& settings, RequestServices services);

    /// Begins the request.
    std::vector<RequestAction> start(TimePoint now);

    /// Takes an event. Events of attempts that are over are ignored.
    std::vector<RequestAction> handle(const RequestEvent& event, TimePoint now);

    /// Returns when TimerFired is due; no value if the request is over.
    std::optional<TimePoint> wakeAt() const;

    bool isOver() const { return m_phase == Phase::Over; }
    /// Returns whether the head of an answer is with the caller.
    bool isHeadSent() const { return m_isHeadSent; }
    const RequestFacts& facts() const { return m_facts; }

private:
    enum class Phase : uint8_t {
        Waiting, ///< No target has taken the request.
        Sent, ///< An attempt runs; its head has not arrived.
        Holding, ///< The answer is held back until it is complete.
        Forwarding, ///< Parts of the answer are with the caller.
        Over,
    };
    using Actions = std::vector<RequestAction>;

    void on(const AnswerBegan& event, TimePoint now, Actions& actions);
    void on(const AnswerContinued& event, TimePoint now, Actions& actions);
    void on(const AnswerEnded& event, TimePoint now, Actions& actions);
    void on(const AttemptLost& event, TimePoint now, Actions& actions);
    void on(const CallerLeft& event, TimePoint now, Actions& actions);
    void on(const TimerFired& event, TimePoint now, Actions& actions);

    void seekTarget(TimePoint now, Actions& actions);
    void beginAttempt(const AcquiredTarget& target, TimePoint now, Actions& actions);
    void forwardEvents(Actions& actions);
    void endAttempt(TargetVerdict verdict, TimePoint now);
    /// The present attempt ended without an answer that can be passed on; `mayHaveRun` if its target did not deny it.
    void replaceAttempt(bool mayHaveRun, const std::string& reason, TimePoint now, Actions& actions);
    bool takeRetry(TimePoint now);
    /// Returns another target for a request whose attempt still runs, or no value if none can take it or the budget is
    /// used up: an attempt is not given up for nothing.
    std::optional<AcquiredTarget> acquireAlternative(TimePoint now);
    /// Ends the present attempt and begins one at `target`.
    void switchTo(const AcquiredTarget& target, TargetVerdict verdict, TimePoint now, Actions& actions);
    void waitForTarget(TargetShortage shortage, TimePoint now, Actions& actions);
    void setWaitingCount(bool isWaiting);
    /// Ends the request with an answer of the node; `shortage` is what it waited for in vain.
    void giveUp(OwnAnswer answer, const std::string& reason, TimePoint now, Actions& actions,
        std::optional<TargetShortage> shortage = std::nullopt);
    /// Returns when a caller whose request has not run may come back.
    Duration retryAfter(std::optional<TargetShortage> shortage, TimePoint now) const;
    void timeOut(TimePoint now, Actions& actions);
    void finish();
    ArtifactKey artifact() const { return { m_facts.service, m_facts.model, m_facts.adapter }; }
    bool isPresent(uint32_t attempt) const { return m_target && attempt == m_attempt; }
    bool isStream() const { return m_facts.route.repeatRule == RepeatRule::Stream; }
    std::optional<TimePoint> silenceLimit() const;

    RequestFacts m_facts;
    const RequestFlowSettings* m_settings;
    RequestServices m_services;
    Phase m_phase { Phase::Waiting };
    TargetQuery m_query;
    std::optional<AcquiredTarget> m_target; ///< Of the present attempt.
    uint32_t m_attempt { 0 }; ///< Number of the present or last attempt, from 1.
    uint32_t m_sends { 0 }; ///< Attempts that reached, or may have reached, a target.
    bool m_mayHaveRun { false };
    bool m_isHeadSent { false };
    AnswerFacts m_head;
    std::string m_held; ///< Body that is held back.
    EventBoundary m_events;
    std::string m_lastEventId; ///< Of the last event that the caller got.
    TimePoint m_lastProgress;
    TimePoint m_nextSearch;
    bool m_isCountedAsWaiting { false };
};

} // namespace cyclamenstair

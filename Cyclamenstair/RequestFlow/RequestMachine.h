#pragma once

#include <Cyclamenstair/Fleet/DemandCounter.h>
#include <Cyclamenstair/Fleet/RelayPeers.h>
#include <Cyclamenstair/Fleet/StreamOrigins.h>
#include <Cyclamenstair/Fleet/TargetReach.h>
#include <Cyclamenstair/Quarantine/PromptQuarantine.h>
#include <Cyclamenstair/RequestFlow/AnswerProgress.h>
#include <Cyclamenstair/RequestFlow/EventStreamParser.h>
#include <Cyclamenstair/RequestFlow/RequestAction.h>
#include <Cyclamenstair/RequestFlow/RequestEvent.h>
#include <Cyclamenstair/RequestFlow/RequestInfo.h>
#include <Cyclamenstair/Routing/RetryBudget.h>

#include <vector>

namespace cyclamenstair {

/// Settings of RequestMachine.
struct RequestFlowSettings {
    /// Interval at which a waiting request tries again to acquire a target.
    Duration acquireInterval { milliseconds(25) };
    /// The same while it waits for room at brittle targets. They must not queue requests, so a slot is idle until the
    /// next try.
    Duration brittleAcquireInterval { milliseconds(10) };
    /// Maximum wait for a target, as a fraction of the route's target latency. A caller that is refused early still has
    /// time to retry.
    double maxWaitFraction { 0.5 };
    /// Maximum wait for a target with a shorter prompt backlog, as a fraction of the route's target latency. The target
    /// needs the remaining time to process the prompt.
    double maxPromptWaitFraction { 0.4 };
    /// Retry-After for a request that was sent to no target. Covers a placement decision and an unload, or the
    /// registration of a target; the load time of an absent model is added.
    Duration retryAfterAbsent { milliseconds(1500) };
    /// Retry-After for a request that targets refused because they are full.
    Duration retryAfterFull { milliseconds(300) };
    /// Upper bound of the random part that is added to Retry-After, as a fraction of it. Callers that were refused
    /// together come back one after the other.
    double retryAfterSpread { 0.5 };
    /// Upper bound of Retry-After as a fraction of the time until the deadline; the caller needs the rest for the
    /// response.
    double maxRetryAfterFraction { 0.6 };
    /// Maximum size of a response that is buffered until it is complete. A buffered response that is interrupted can be
    /// replaced by another attempt.
    size_t maxBufferedBytes { 65536 };
    /// Maximum size of an event of a stream. A target that sends more without ending the event has failed.
    size_t maxEventBytes { 1048576 };
    /// Time without a complete event, as a multiple of the route's maximum event gap, after which a resumable stream
    /// resumes at another target.
    double stallTimeoutFactor { 4 };
    /// Lower bound of the stall timeout. Shorter gaps occur while a target processes long prompts.
    Duration minStallTimeout { milliseconds(1000) };
    /// Time without the first byte of a response, as a multiple of the route's target latency, after which a retryable
    /// request is sent to another target. Callers disconnect after four times the target latency.
    double firstByteTimeoutFactor { 2.4 };
    /// Lower bound of the first byte timeout. Plain services respond within it under load.
    Duration minFirstByteTimeout { milliseconds(400) };
    /// Time without the head of a response, as a multiple of the route's target latency, after which a request counts
    /// as overdue at its target; within the bounds below. Callers disconnect after four times the target latency.
    double overdueFactor { 2 };
    Duration minOverdueTime { milliseconds(500) };
    Duration maxOverdueTime { milliseconds(1500) };
    /// Time from the request for an adapter until all nodes of a large fleet know that it is loaded. Callers wait
    /// longer, so a first attempt waits for it.
    Duration fleetAdapterLoadTime { milliseconds(1200) };
    /// Time that a first attempt waits for an engine with room. Longer than the age of the known loads; a caller that
    /// is refused then comes back when there may be another copy of the model.
    Duration overloadWait { milliseconds(700) };
    /// Maximum wait for the version that began a stream that the caller resumes. Other nodes send what they know within
    /// 100 ms, and a node that has just started reads it from the store.
    Duration streamOriginWait { milliseconds(700) };
    /// Maximum time for which the first events of a stream wait until its origin is in the store, and the interval at
    /// which that is checked. After a restart of all nodes, a stream whose origin is not there cannot be resumed. The
    /// platform counts a stream as late if an event is passed on after 120 ms.
    Duration maxOriginHold { milliseconds(110) };
    Duration originCheckInterval { milliseconds(10) };
    /// Time after the first event of a stream from which on the target is known to survive the request. An engine that
    /// a prompt makes fail ends within a few steps of it.
    Duration answerProofTime { milliseconds(250) };
    /// Factor of the stall timeouts of a relayed request. The other node replaces a stalled target itself, so this node
    /// only replaces a stalled node.
    double relayStallFactor { 2 };
    /// Interval at which a stalled request without attempts left checks whether this node has lost its targets. Callers
    /// leave a stream after a gap of two seconds.
    Duration lostTargetCheckInterval { milliseconds(200) };
};

/// Objects shared by all requests, not owned by RequestMachine. `random` belongs to the thread of the request.
struct RequestDependencies {
    TargetRegistry* targets { nullptr };
    RetryBudget* retries { nullptr };
    DemandCounter* demand { nullptr };
    Random* random { nullptr };
    PromptQuarantine* quarantine { nullptr };
    const SoftwareVersions* versions { nullptr };
    StreamOrigins* origins { nullptr };
    const TargetReach* reach { nullptr }; ///< Null if requests are never relayed.
    RelayPeers* relays { nullptr };
};

/// State machine of one request. It does no I/O: it receives events and returns the actions to perform. Not
/// thread-safe.
///
/// A request has not run before its first byte is written. After that, only an explicit statement of the target proves
/// that it has not run. Without one, a request that must run at most once is neither sent again nor refused as not run.
class RequestMachine {
public:
    RequestMachine(RequestInfo requestInfo, const RequestFlowSettings& settings, RequestDependencies dependencies);

    /// Starts the first attempt, or waits for a target. Called once.
    std::vector<RequestAction> start(TimePoint now);

    /// Handles an event. Events of attempts that have ended are ignored.
    std::vector<RequestAction> handle(const RequestEvent& event, TimePoint now);

    /// Returns the time at which TimerFired is due, or no value if the request has finished.
    std::optional<TimePoint> nextTimerAt() const;

    bool isFinished() const { return m_phase == Phase::Finished; }
    /// Returns whether the head of a response has been sent to the caller.
    bool isHeadSent() const { return m_isHeadSent; }
    const RequestInfo& requestInfo() const { return m_requestInfo; }
    /// Returns how many bytes of the response are buffered.
    size_t bufferedBytes() const { return m_bufferedBody.size() + m_eventParser.size() + m_heldEvents.size(); }
    /// Returns how far the answer has come, over all attempts.
    AnswerProgress answerProgress() const { return m_answerProgress; }

private:
    enum class Phase : uint8_t {
        Waiting, ///< No target can take the request yet.
        Sent, ///< An attempt is running and its response head has not arrived.
        Buffering, ///< The response is buffered until it is complete.
        Forwarding, ///< Parts of the response have been sent to the caller.
        Finished,
    };
    using Actions = std::vector<RequestAction>;

    /// Where an attempt is sent: to a target, or to another node that sends it to one.
    using Destination = std::variant<AcquiredTarget, RelayPeer>;

    struct Attempt {
        uint32_t number { 0 };
        Destination destination;
        /// When the request counts as overdue at the target. No value afterwards, and in small fleets, where each node
        /// has enough requests to judge a target itself.
        std::optional<TimePoint> overdueAt {};
        /// Of the target. If another node has the target, known once the response has begun.
        std::string softwareVersion {};

        /// Returns the target, or null if the attempt is relayed.
        AcquiredTarget* target() { return std::get_if<AcquiredTarget>(&destination); }
        bool isRelayed() const { return std::holds_alternative<RelayPeer>(destination); }
    };

    void on(const ResponseStarted& event, TimePoint now, Actions& actions);
    void on(const ResponseContinued& event, TimePoint now, Actions& actions);
    void on(const ResponseCompleted& event, TimePoint now, Actions& actions);
    void on(const AttemptDisconnected& event, TimePoint now, Actions& actions);
    void on(const RelayRefused& event, TimePoint now, Actions& actions);
    void on(const CallerDisconnected& event, TimePoint now, Actions& actions);
    void on(const ForwardingPaused& event, TimePoint now, Actions& actions);
    void on(const ForwardingResumed& event, TimePoint now, Actions& actions);
    void on(const NodeStopping& event, TimePoint now, Actions& actions);
    void on(const TimerFired& event, TimePoint now, Actions& actions);

    void acquireTarget(TimePoint now, Actions& actions);
    /// Restricts the targets of a stream that the caller resumes to the version that began it. Returns false if that is
    /// not known; the request then waits or has ended.
    bool requireVersionOfStream(TimePoint now, Actions& actions);
    /// Records which version began the stream when its first event arrives.
    void recordVersionOfStream(TimePoint now);
    /// Forwards the held events if the stream's origin is in the store or the time for it is over.
    void releaseHeldEvents(TimePoint now, Actions& actions);
    /// Starts an attempt, which becomes the current one if there is none, else the alternative.
    void startAttempt(const AcquiredTarget& target, TimePoint now, Actions& actions);
    void startRelay(const RelayPeer& peer, TimePoint now, Actions& actions);
    /// Makes a new attempt the current one if there is none, else the alternative.
    void addAttempt(Attempt attempt, TimePoint now);
    /// Ends the request, or lets it wait for a node to relay it through, if this node is cut off from all targets.
    /// Returns false if it is not.
    bool waitForRelay(TimePoint now, Actions& actions);
    /// Returns a node to relay the request through, if this node reaches no target and knows a node that does.
    std::optional<RelayPeer> acquireRelay(TimePoint now);
    /// Ends the request in flight at the destination of an attempt.
    void release(const Attempt& attempt, TargetAttemptResult result, TimePoint now);
    /// Applies what the target states about itself beside its answer.
    void applyStatements(const ResponseInfo& head, Attempt& attempt, TimePoint now, Actions& actions);
    /// Handles the response head of the alternative: an answer makes it the current attempt, anything else ends it.
    void onAlternativeStarted(const ResponseStarted& event, TimePoint now, Actions& actions);
    /// Makes the alternative the current attempt, after the current one has ended.
    void adoptAlternative(TimePoint now);
    /// Closes the connection of the alternative, if there is one.
    void cancelAlternative(TargetAttemptResult result, TimePoint now, Actions& actions);
    /// Records that the current attempt goes on, which makes the alternative needless.
    void recordProgress(TimePoint now, Actions& actions);
    void cancelCurrent(TargetAttemptResult result, TimePoint now, Actions& actions);
    void forwardCompleteEvents(TimePoint now, Actions& actions);
    /// Records or reports that the target closed its connection before its answer had continued.
    void recordLostAnswer(Attempt& attempt, TimePoint now, Actions& actions);
    /// Records that an event or a complete answer has arrived.
    void recordAnswerProgress(bool isComplete, TimePoint now);
    /// Releases the target of the current attempt.
    void endAttempt(TargetAttemptResult result, TimePoint now);
    /// Discards what the last attempt sent and the caller has not received.
    void discardPartialAnswer();
    /// Starts another attempt, or fails the request, after the current attempt ended without a usable response.
    /// `mayHaveRun` is false only if the target stated that it did not run the request.
    void retryOrFail(bool mayHaveRun, const std::string& reason, TimePoint now, Actions& actions);
    bool consumeRetry(TimePoint now);
    /// Returns whether an attempt was sent to another target and has not been answered, so that it is replaced by a
    /// relay if this node loses its targets.
    bool isAlternativeReplaceable() const;
    /// Returns whether an unanswered attempt can no longer be answered, as no open connection to a target delivers
    /// anything. Before that, its target may work for the request although no connection can be opened.
    bool isAlternativeLost(TimePoint now) const;
    /// Acquires another destination while the current attempt is still running. Returns no value if none can take the
    /// request or the retry budget is exhausted; the current attempt then continues.
    std::optional<Destination> acquireAlternative(TimePoint now);
    void startAlternative(const Destination& destination, TimePoint now, Actions& actions);
    /// Ends the request if a part of its prompt is quarantined. Returns whether it did.
    bool refuseQuarantined(TimePoint now, Actions& actions);
    /// Ends the request because it cannot be sent to a target before `wait` has passed. A Retry-After for it is not
    /// bounded by the deadline, since no earlier retry can succeed.
    void refuseFor(Duration wait, const std::string& reason, TimePoint now, Actions& actions);
    /// Counts the attempts as overdue whose response head is due.
    void markOverdueAttempts(TimePoint now);
    /// Returns when the next attempt becomes overdue.
    std::optional<TimePoint> nextOverdueAt() const;
    /// Returns how long a first attempt waits for a target.
    Duration maxWait(AcquireFailure failure) const;
    void waitForTarget(AcquireFailure failure, TimePoint now, Actions& actions);
    /// Waits for the end of a pause that all targets asked for, or refuses the request at once if it ends too late.
    void waitForPauseEnd(TimePoint until, TimePoint now, Actions& actions);
    void setCountedAsWaiting(bool isWaiting);
    /// Ends the request with a local response, or aborts a response that has started. `failure` is set if no target
    /// could be acquired.
    void fail(LocalResponseKind kind, const std::string& reason, TimePoint now, Actions& actions,
        std::optional<AcquireFailure> failure = std::nullopt);
    /// Returns the Retry-After duration for a request that has not run.
    Duration retryAfter(std::optional<AcquireFailure> failure, TimePoint now) const;
    /// Adds a random part, so that callers that were refused together come back one after the other.
    Duration withRandomSpread(Duration wait) const;
    void timeOut(TimePoint now, Actions& actions);
    void finish();
    ArtifactKey artifact() const { return { m_requestInfo.service, m_requestInfo.model, m_requestInfo.adapter }; }
    bool isCurrentAttempt(uint32_t attempt) const { return m_current && attempt == m_current->number; }
    bool isAlternative(uint32_t attempt) const { return m_alternative && attempt == m_alternative->number; }
    bool isStream() const { return m_requestInfo.route.retryPolicy == RetryPolicy::Stream; }
    /// Returns the time at which the newest attempt counts as stalled, or no value if no other attempt may follow.
    std::optional<TimePoint> stallDeadline() const;

    RequestInfo m_requestInfo;
    const RequestFlowSettings* m_settings;
    RequestDependencies m_dependencies;
    Phase m_phase { Phase::Waiting };
    TargetQuery m_query;
    std::optional<Attempt> m_current; ///< Its response is forwarded.
    /// Attempt at another target because the current one has stalled. The current one goes on until another target has
    /// answered, since one that is only slow can still complete.
    std::optional<Attempt> m_alternative;
    std::set<std::string> m_triedPeers; ///< Ids of nodes through which the request has been relayed.
    uint32_t m_lastAttempt { 0 }; ///< Number of the last attempt started; the first is 1.
    uint32_t m_sentAttempts { 0 }; ///< Attempts that reached a target or may have reached one.
    bool m_mayHaveRun { false };
    bool m_isHeadSent { false };
    ResponseInfo m_head;
    std::string m_bufferedBody;
    EventStreamParser m_eventParser;
    std::string m_lastEventId; ///< Id of the last event forwarded to the caller.
    std::string m_heldEvents; ///< Events of the answer that wait until the stream's origin is in the store.
    std::optional<TimePoint> m_holdEndsAt; ///< Set while events are held.
    TimePoint m_originCheckedAt;
    AnswerProgress m_answerProgress { AnswerProgress::NotStarted };
    std::optional<TimePoint> m_firstEventAt; ///< First event of the current attempt.
    TimePoint m_lastProgressAt; ///< Also of the start of an attempt.
    TimePoint m_nextAcquireAt;
    bool m_isForwardingPaused { false };
    bool m_isCountedAsWaiting { false };
};

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Node/CompletionBody.h>
#include <Cyclamenstair/Node/EventSplitter.h>
#include <Cyclamenstair/Node/RequestPathState.h>
#include <Cyclamenstair/Transport/UpstreamAttempt.h>

namespace cyclamenstair {

/// What an attempt does, fixed at its start.
struct AttemptPlan {
    uint32_t number { 0 }; ///< From 1 within the request.
    RouteCandidate candidate;
    std::string pool;
    AttemptWork work; ///< Already recorded in the TargetTable.
    uint32_t resumeFrom { 0 }; ///< Tokens that the caller already has.
    bool isProbe { false }; ///< The target is on probation.
};

/// An attempt that runs at a target. Feeds what it observes to the shared state. Used by one thread at a time.
class LiveAttempt {
public:
    LiveAttempt(RequestPathState& state, const Request& request, const std::optional<CompletionBody>& completion,
        AttemptPlan plan, std::shared_ptr<AttemptInbox> inbox);

    /// Cancels the attempt if it did not end.
    ~LiveAttempt();

    const AttemptPlan& plan() const { return m_plan; }
    const std::string& target() const { return m_plan.candidate.target; }
    EventSplitter& splitter() { return m_splitter; }
    std::string& body() { return m_body; }

    void takeHead(const AttemptHead& head, TimePoint now);

    /// Counts a token of a stream.
    void takeToken(TimePoint now);

    /// Counts a sign of life that is no token.
    void takeProgress(TimePoint now) { m_lastProgress = std::max(m_lastProgress, now); }

    /// Ends the attempt with a whole answer. `isStream` tells whether its tokens were counted.
    void complete(bool isStream, uint32_t maxTokens, TimePoint now);

    /// Ends the attempt without an answer. `isRefusal` means that the target answered properly that it did not run it.
    void fail(bool isRefusal, TimePoint now);

    /// Tells the detector how long the attempt, which is late, has waited for its first token.
    void reportWaiting(TimePoint now);

    /// Returns when the first token or the next one is late; no value while nothing is known about the model.
    std::optional<TimePoint> lateAt() const;

    /// Returns when the target's silence counts as a failure.
    TimePoint silentAt() const;

private:
    AttemptRequest httpRequest(const Request& request, const std::optional<CompletionBody>& completion) const;
    std::optional<Duration> expectedFirst() const;
    void observeFirst(TimePoint now);

    RequestPathState* m_state;
    AttemptPlan m_plan;
    std::string m_artifact;
    bool m_isStream;
    TimePoint m_startedAt;
    TimePoint m_lastProgress;
    TimePoint m_firstTokenAt;
    uint32_t m_tokens { 0 };
    bool m_hasFirst { false }; ///< The first token, or the head of an answer that is not streamed, arrived.
    bool m_isSettled { false };
    EventSplitter m_splitter;
    std::string m_body; ///< Bytes of an answer that is not streamed.
    std::unique_ptr<UpstreamAttempt> m_upstream;
};

} // namespace cyclamenstair

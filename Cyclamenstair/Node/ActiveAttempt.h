#pragma once

#include <Cyclamenstair/Node/CompletionBody.h>
#include <Cyclamenstair/Node/CompletionEventParser.h>
#include <Cyclamenstair/Node/ExecutorState.h>
#include <Cyclamenstair/Transport/UpstreamAttempt.h>

namespace cyclamenstair {

/// Parameters of an attempt, fixed at its start.
struct AttemptParameters {
    uint32_t number { 0 }; ///< Number within the request, starting at 1.
    RouteCandidate candidate;
    std::string pool;
    AttemptWork work; ///< Already added to the target's load in the TargetTable.
    uint32_t resumeFrom { 0 }; ///< Number of tokens already delivered to the caller.
    bool isProbe { false }; ///< The target is on probation.
};

/// An attempt that runs on a target. Reports its observations to the shared state. Used by one thread at a time.
class ActiveAttempt {
public:
    ActiveAttempt(ExecutorState& state, const Request& request, const std::optional<CompletionBody>& completion,
        AttemptParameters parameters, std::shared_ptr<AttemptInbox> inbox);

    /// Cancels the attempt if it has not ended.
    ~ActiveAttempt();

    const AttemptParameters& parameters() const { return m_parameters; }
    const std::string& target() const { return m_parameters.candidate.target; }
    CompletionEventParser& eventParser() { return m_eventParser; }
    std::string& responseBody() { return m_responseBody; }

    /// Handles the response head.
    void onHead(const AttemptHead& head, TimePoint now);

    /// Handles a token of a stream.
    void onToken(TimePoint now);

    /// Restarts the idle timeout after progress other than a token.
    void onProgress(TimePoint now) { m_lastProgressAt = std::max(m_lastProgressAt, now); }

    /// Ends the attempt with a complete response. `isStream` states whether its tokens were counted.
    void complete(bool isStream, uint32_t maxTokens, TimePoint now);

    /// Ends the attempt without a complete response. `isRefusal` means that the target properly responded that it did
    /// not run the request; such a response does not count as a failure of the target.
    void fail(bool isRefusal, TimePoint now);

    /// Reports to the straggler detector how long a late attempt has waited for its first response.
    void reportPending(TimePoint now);

    /// Returns the time from which the first or next token counts as late; no value while the model has no estimate.
    std::optional<TimePoint> lateAt() const;

    /// Returns the time at which the attempt fails unless the target makes progress.
    TimePoint idleDeadline() const;

private:
    AttemptRequest makeHttpRequest(const Request& request, const std::optional<CompletionBody>& completion) const;

    /// Returns the expected time to the first token of a stream or to the complete response otherwise; no value without
    /// an estimate.
    std::optional<Duration> expectedFirstResponseTime() const;
    void observeFirstResponse(TimePoint now);

    ExecutorState* m_state;
    AttemptParameters m_parameters;
    std::string m_artifact;
    bool m_isStream;
    TimePoint m_startedAt;
    TimePoint m_lastProgressAt;
    TimePoint m_firstTokenAt;
    uint32_t m_tokenCount { 0 };
    bool m_hasFirstResponse { false }; ///< The first token, or the head of a response that is not streamed, arrived.
    bool m_hasEnded { false };
    CompletionEventParser m_eventParser;
    std::string m_responseBody; ///< Body of a response that is not streamed.
    std::unique_ptr<UpstreamAttempt> m_upstream;
};

} // namespace cyclamenstair

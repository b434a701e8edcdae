#pragma once

#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Node/Request.h>
#include <Cyclamenstair/Node/TargetDirectory.h>
#include <Cyclamenstair/Routing/Router.h>
#include <Cyclamenstair/Transport/UpstreamAttempt.h>

#include <memory>
#include <set>
#include <variant>

namespace cyclamenstair {

/// A whole answer.
struct WholeAnswer {
    int status { 0 };
    std::string contentType;
    std::string body;
};

/// Answer of a target that is being received.
class RunningAnswer {
public:
    RunningAnswer(TargetTable& targets, std::string target, std::unique_ptr<UpstreamAttempt> attempt, AttemptHead head,
        Duration idleTimeout);
    ~RunningAnswer();

    const AttemptHead& head() const { return m_head; }
    const std::string& target() const { return m_target; }

    /// Returns the next bytes, the end, or a failure. Never returns AttemptHead or AttemptPending.
    AttemptEvent next();

private:
    TargetTable* m_targets;
    std::string m_target;
    std::unique_ptr<UpstreamAttempt> m_attempt;
    AttemptHead m_head;
    Duration m_idleTimeout;
    bool m_isComplete { false };
};

/// Runs requests on targets: chooses a target, repeats where that is safe, and tells apart what ran and what did not.
/// Callable from many threads.
class RequestExecutor {
public:
    RequestExecutor(const schema::SettingsT& settings, const TargetDirectory& directory);

    /// Starts the request and returns once a target has begun to answer.
    std::variant<std::unique_ptr<RunningAnswer>, RequestFailure> start(const Request& request);

    /// Runs the request and returns the whole answer.
    std::variant<WholeAnswer, RequestFailure> run(const Request& request);

private:
    AttemptRequest attemptRequest(const Request& request, const std::string& address, int attempt) const;

    schema::SettingsT m_settings;
    const TargetDirectory* m_directory;
    TargetTable m_targets;
    StragglerDetector m_detector;
    Router m_router;
};

} // namespace cyclamenstair

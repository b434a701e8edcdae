#pragma once

#include <Cyclamenstair/Node/RunningAnswer.h>

#include <memory>
#include <variant>

namespace cyclamenstair {

/// A whole answer.
struct WholeAnswer {
    int status { 0 };
    std::string contentType;
    std::string body;
};

/// Runs requests on targets: chooses a target, repeats, hedges and resumes where that is safe, and tells apart what ran
/// and what did not. Callable from many threads; must outlive the answers that it starts.
class RequestExecutor {
public:
    RequestExecutor(const schema::SettingsT& settings, const TargetDirectory& directory);

    /// Starts the request and returns once a target has begun to answer.
    std::variant<std::unique_ptr<RunningAnswer>, RequestFailure> start(const Request& request);

    /// Runs the request and returns the whole answer.
    std::variant<WholeAnswer, RequestFailure> run(const Request& request);

private:
    RequestPathState m_state;
};

} // namespace cyclamenstair

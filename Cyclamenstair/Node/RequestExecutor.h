#pragma once

#include <Cyclamenstair/Node/RequestExecution.h>

#include <memory>
#include <variant>

namespace cyclamenstair {

/// Complete response that is not streamed.
struct BufferedResponse {
    int status { 0 };
    std::string contentType;
    std::string body;
};

/// Runs requests on targets: selects a target, retries, hedges and resumes where that is safe, and reports whether a
/// failed request may have run. Callable from many threads; must outlive the executions that it starts.
class RequestExecutor {
public:
    RequestExecutor(const schema::SettingsT& settings, const TargetDirectory& directory);

    /// Starts the request. Blocks until a target has begun to respond or the request has failed.
    std::variant<std::unique_ptr<RequestExecution>, RequestFailure> start(const Request& request);

    /// Runs the request and returns the complete response. Blocks until it has ended.
    std::variant<BufferedResponse, RequestFailure> run(const Request& request);

private:
    ExecutorState m_state;
};

} // namespace cyclamenstair

#include <Cyclamenstair/Node/RequestExecutor.h>

namespace cyclamenstair {

RequestExecutor::RequestExecutor(const schema::SettingsT& settings, const TargetDirectory& directory)
    : m_state(settings, directory)
{
}

std::variant<std::unique_ptr<RequestExecution>, RequestFailure> RequestExecutor::start(const Request& request)
{
    auto execution = std::make_unique<RequestExecution>(m_state, request);
    if (auto failure = execution->waitForHead())
        return std::move(*failure);
    return execution;
}

std::variant<BufferedResponse, RequestFailure> RequestExecutor::run(const Request& request)
{
    auto started = start(request);
    if (auto* failure = std::get_if<RequestFailure>(&started))
        return std::move(*failure);
    auto& execution = *std::get<std::unique_ptr<RequestExecution>>(started);
    BufferedResponse response { execution.head().status, execution.head().contentType, {} };
    for (;;) {
        auto event = execution.next();
        if (std::holds_alternative<AttemptEnd>(event))
            return response;
        if (const auto* data = std::get_if<AttemptData>(&event))
            response.body += data->bytes;
        else if (const auto* failed = std::get_if<AttemptFailed>(&event))
            return RequestFailure { RequestOutcome::Broken,
                { ErrorKind::Unavailable, "request.attempt", execution.target(), failed->message }, Duration(0) };
    }
}

} // namespace cyclamenstair

#include <Cyclamenstair/Node/RequestExecutor.h>

namespace cyclamenstair {

RequestExecutor::RequestExecutor(const schema::SettingsT& settings, const TargetDirectory& directory)
    : m_state(settings, directory)
{
}

std::variant<std::unique_ptr<RunningAnswer>, RequestFailure> RequestExecutor::start(const Request& request)
{
    auto answer = std::make_unique<RunningAnswer>(m_state, request);
    if (auto failure = answer->open())
        return std::move(*failure);
    return answer;
}

std::variant<WholeAnswer, RequestFailure> RequestExecutor::run(const Request& request)
{
    auto started = start(request);
    if (auto* failure = std::get_if<RequestFailure>(&started))
        return std::move(*failure);
    auto& answer = *std::get<std::unique_ptr<RunningAnswer>>(started);
    WholeAnswer whole { answer.head().status, answer.head().contentType, {} };
    for (;;) {
        auto event = answer.next();
        if (std::holds_alternative<AttemptEnd>(event))
            return whole;
        if (const auto* data = std::get_if<AttemptData>(&event))
            whole.body += data->bytes;
        else if (const auto* failed = std::get_if<AttemptFailed>(&event))
            return RequestFailure { RequestOutcome::Broken,
                { ErrorKind::Unavailable, "request.attempt", answer.target(), failed->message }, Duration(0) };
    }
}

} // namespace cyclamenstair

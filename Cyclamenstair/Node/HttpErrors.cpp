#include <Cyclamenstair/Node/HttpErrors.h>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace cyclamenstair {

int httpStatusFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return 400;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::Forbidden:
        return 403;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::KeyReused:
        return 422;
    case ErrorKind::LimitExceeded:
        return 429;
    case ErrorKind::NotRun:
    case ErrorKind::Unavailable:
        return 503;
    case ErrorKind::Timeout:
    case ErrorKind::Unknown:
        return 504;
    case ErrorKind::Internal:
        break;
    }
    return 500;
}

void writeFailureResponse(httplib::Response& response, const std::string& requestId, const RequestFailure& failure)
{
    response.status = httpStatusFor(failure.error.kind);
    if (failure.outcome == RequestOutcome::Broken) {
        // The body is shorter than its Content-Length, which every HTTP client treats as a broken connection.
        response.set_content_provider(1, "application/json", [](size_t, size_t, httplib::DataSink&) { return false; });
        return;
    }
    const auto outcome = std::string(nameOf(failure.outcome));
    const nlohmann::json body { { "error",
        { { "type", nameOf(failure.error.kind) }, { "message", failure.error.message }, { "request_id", requestId },
            { "step", failure.error.step }, { "peer", failure.error.peer }, { "outcome", outcome } } } };
    response.set_header("X-Outcome", outcome);
    response.set_header("X-Request-Id", requestId);
    if (failure.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(failure.retryAfter).count();
        response.set_header("Retry-After", std::to_string(seconds));
    }
    response.set_content(body.dump(), "application/json");
}

void writeErrorResponse(httplib::Response& response, const std::string& requestId, const Error& error)
{
    writeFailureResponse(response, requestId, { RequestOutcome::NotRun, error, Duration(0) });
}

} // namespace cyclamenstair

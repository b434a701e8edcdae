#pragma once

#include <Cyclamenstair/Node/Request.h>

namespace httplib {
struct Response;
}

namespace cyclamenstair {

/// Returns the HTTP status code that represents an error kind.
int httpStatusFor(ErrorKind kind);

/// Writes a failure as a JSON error with type, message, request id, step, peer and outcome. For the outcome Broken, the
/// connection is closed without a complete response instead.
void writeFailureResponse(httplib::Response& response, const std::string& requestId, const RequestFailure& failure);

/// Writes a JSON error with the outcome "not run".
void writeErrorResponse(httplib::Response& response, const std::string& requestId, const Error& error);

} // namespace cyclamenstair

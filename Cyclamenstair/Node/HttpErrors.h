#pragma once

#include <Cyclamenstair/Node/Request.h>

namespace httplib {
struct Response;
}

namespace cyclamenstair {

/// Returns the HTTP status for an error.
int statusOf(ErrorKind kind);

/// Writes an error as JSON: type, message, request id, step, peer and outcome.
void writeFailure(httplib::Response& response, const std::string& requestId, const RequestFailure& failure);

/// Writes an error of a request that did not run.
void writeError(httplib::Response& response, const std::string& requestId, const Error& error);

} // namespace cyclamenstair

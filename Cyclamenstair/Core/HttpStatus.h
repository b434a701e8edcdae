#pragma once

#include <cstdint>

namespace cyclamenstair {

/// Range of HTTP status codes (RFC 9110, section 15). Those below the first final one belong to interim responses.
inline constexpr int64_t minHttpStatus = 100;
inline constexpr int64_t minFinalHttpStatus = 200;
inline constexpr int64_t maxHttpStatus = 599;

constexpr bool isHttpStatus(int64_t status) { return status >= minHttpStatus && status <= maxHttpStatus; }

/// Returns whether a response with the status ends a request.
constexpr bool isFinalHttpStatus(int64_t status) { return isHttpStatus(status) && status >= minFinalHttpStatus; }

} // namespace cyclamenstair

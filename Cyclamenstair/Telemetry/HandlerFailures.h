#pragma once

#include <cstdint>
#include <string_view>

namespace cyclamenstair {

/// Logs the exception that is being handled, as `event`. Called in a catch block. Never throws: without memory for the
/// line, it is dropped.
void logCurrentException(std::string_view event) noexcept;

/// Logs and counts the exception that is being handled, which a handler of an event loop has thrown
/// (`handler_failed`). Called in a catch block. Never throws.
void logHandlerFailure() noexcept;

/// Returns the number of calls of logHandlerFailure() in this process.
uint64_t handlerFailureCount() noexcept;

} // namespace cyclamenstair

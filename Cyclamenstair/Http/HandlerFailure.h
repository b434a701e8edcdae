#pragma once

#include <string_view>

namespace cyclamenstair {

/// Logs the exception that is being handled, as `event`. Called in a catch block. Does not throw: without memory for
/// the line, it is dropped.
void logCurrentException(std::string_view event = "handler_failed") noexcept;

} // namespace cyclamenstair

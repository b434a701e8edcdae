#pragma once

#include <string>
#include <string_view>

namespace cyclamenstair {

/// Returns at most the first `maxBytes` bytes of `text` for a log: printable ASCII characters as they are, all others
/// and backslashes as \xNN. Text that was cut off ends with "...".
std::string escapeText(std::string_view text, size_t maxBytes);

} // namespace cyclamenstair

#pragma once

#include <string_view>

namespace cyclamenstair {

/// Passes the characters of a log field's value to `append`. Quotes a value that contains characters which would end
/// the field or inject another one. Allocates nothing itself.
template <typename Append> void formatLogValue(std::string_view value, const Append& append)
{
    const bool isPlain = !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string_view::npos;
    if (!isPlain)
        append('"');
    for (const char c : value) {
        if (!isPlain && (c == '"' || c == '\\'))
            append('\\');
        append(!isPlain && static_cast<unsigned char>(c) < 0x20 ? ' ' : c);
    }
    if (!isPlain)
        append('"');
}

} // namespace cyclamenstair

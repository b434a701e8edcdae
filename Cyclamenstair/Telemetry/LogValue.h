#pragma once

#include <Cyclamenstair/Core/Utf8.h>

#include <algorithm>
#include <string_view>

namespace cyclamenstair {

/// Passes the characters of a log field's value to `append`. Quotes a value that contains characters which would end
/// the field or inject another one. What is no printable UTF-8 is replaced, so that every line can be read as UTF-8 and
/// cannot control a terminal. Allocates nothing itself.
template <typename Append> void formatLogValue(std::string_view value, const Append& append)
{
    const bool isPlain = !value.empty() && std::none_of(value.begin(), value.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        // Control characters become spaces; those of Latin-1 begin with 0xc2 in UTF-8.
        return byte <= 0x20 || byte == 0x7f || byte == 0xc2 || c == '"' || c == '=';
    });
    if (!isPlain)
        append('"');
    appendPrintable(value, [&](char c) {
        if (!isPlain && (c == '"' || c == '\\'))
            append('\\');
        append(c);
    });
    if (!isPlain)
        append('"');
}

} // namespace cyclamenstair

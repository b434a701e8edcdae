#include <Cyclamenstair/Core/EscapedText.h>

namespace cyclamenstair {

std::string escapeText(std::string_view text, size_t maxBytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string escaped;
    for (const char character : text.substr(0, maxBytes)) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte >= 0x20 && byte < 0x7f && character != '\\')
            escaped += character;
        else
            escaped.append("\\x").append(1, digits[byte >> 4U]).append(1, digits[byte & 0x0fU]);
    }
    if (text.size() > maxBytes)
        escaped += "...";
    return escaped;
}

} // namespace cyclamenstair

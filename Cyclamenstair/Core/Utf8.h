#pragma once

#include <boost/locale/utf.hpp>

#include <string_view>

namespace cyclamenstair {

/// Replaces bytes that are not UTF-8 (U+FFFD).
inline constexpr std::string_view replacementCharacter = "\xef\xbf\xbd";

/// Result of readUtf8Character().
struct Utf8Character {
    std::string_view bytes; ///< A single byte if it is not valid.
    char32_t codePoint { 0 };
    bool isValid { false };
};

/// Reads the first character of `text`, which is not empty. Allocates nothing.
inline Utf8Character readUtf8Character(std::string_view text)
{
    namespace utf = boost::locale::utf;
    const char* position = text.data();
    const auto codePoint = utf::utf_traits<char>::decode(position, text.data() + text.size());
    if (codePoint == utf::illegal || codePoint == utf::incomplete)
        return { text.substr(0, 1) };
    return { text.substr(0, static_cast<size_t>(position - text.data())), codePoint, true };
}

inline bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const auto character = readUtf8Character(text);
        if (!character.isValid)
            return false;
        text.remove_prefix(character.bytes.size());
    }
    return true;
}

/// Passes the bytes of `text` to `append`, with a space for each control character and U+FFFD for each byte that is not
/// UTF-8. Allocates nothing itself.
template <typename Append> void appendPrintable(std::string_view text, const Append& append)
{
    while (!text.empty()) {
        const auto character = readUtf8Character(text);
        // The control characters of ASCII and of Latin-1.
        const auto isControl
            = character.codePoint < 0x20 || (character.codePoint >= 0x7f && character.codePoint < 0xa0);
        const auto printed = !character.isValid ? replacementCharacter : isControl ? " " : character.bytes;
        for (const char c : printed)
            append(c);
        text.remove_prefix(character.bytes.size());
    }
}

} // namespace cyclamenstair

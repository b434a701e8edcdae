#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenstair {

/// Address in a settings file.
struct SettingsAddress {
    std::string host; ///< IP address.
    uint16_t port { 0 };
};

/// Parses IP:PORT; the port follows the last colon, in any notation of a whole number. Returns no value if the text is
/// malformed or names a host.
std::optional<SettingsAddress> parseSettingsAddress(std::string_view text);

} // namespace cyclamenstair

#include <Cyclamenstair/Settings/SettingsAddress.h>

#include <arpa/inet.h>
#include <charconv>

namespace cyclamenstair {

std::optional<SettingsAddress> parseSettingsAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    SettingsAddress address { std::string(text.substr(0, colon)), 0 };
    const char* const end = text.data() + text.size();
    const auto [parsedEnd, code] = std::from_chars(text.data() + colon + 1, end, address.port);
    in6_addr binary {};
    const bool isAddress = inet_pton(AF_INET, address.host.c_str(), &binary) == 1
        || inet_pton(AF_INET6, address.host.c_str(), &binary) == 1;
    if (!isAddress || code != std::errc() || parsedEnd != end)
        return std::nullopt;
    return address;
}

} // namespace cyclamenstair

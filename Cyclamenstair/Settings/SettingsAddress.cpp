#include <Cyclamenstair/Settings/SettingsAddress.h>

#include <Cyclamenstair/Settings/SettingsNumber.h>

#include <arpa/inet.h>
#include <cmath>
#include <limits>

namespace cyclamenstair {

std::optional<SettingsAddress> parseSettingsAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    SettingsAddress address { std::string(text.substr(0, colon)), 0 };
    const auto portText = text.substr(colon + 1);
    // No sign: the port is a part of an address.
    const auto port = portText.starts_with('+') || portText.starts_with('-') ? std::nullopt : parseDecimal(portText);
    const bool isPort = port && *port <= std::numeric_limits<uint16_t>::max() && *port == std::floor(*port);
    if (isPort)
        address.port = static_cast<uint16_t>(*port);
    in6_addr binary {};
    const bool isAddress = inet_pton(AF_INET, address.host.c_str(), &binary) == 1
        || inet_pton(AF_INET6, address.host.c_str(), &binary) == 1;
    if (!isAddress || !isPort)
        return std::nullopt;
    return address;
}

} // namespace cyclamenstair

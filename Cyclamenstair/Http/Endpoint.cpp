#include <utility>

#include <Cyclamenstair/Http/Endpoint.h>

#include <charconv>

namespace cyclamenstair {

Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    uint16_t port = 0;
    const char* end = text.data() + text.size();
    boost::system::error_code ec;
    boost::asio::ip::address address;
    bool isValid = colon != std::string::npos;
    if (isValid) {
        const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
        address = boost::asio::ip::make_address(text.substr(0, colon), ec);
        isValid = parsed.ec == std::errc {} && parsed.ptr == end && !ec;
    }
    if (!isValid)
        return Error { ErrorKind::InvalidInput, "endpoint.parse", text, "expected IP:PORT" };
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace cyclamenstair

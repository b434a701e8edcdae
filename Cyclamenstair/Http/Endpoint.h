#pragma once

#include <Cyclamenstair/Core/Result.h>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace cyclamenstair {

/// Parses "IP:PORT". Returns an error of kind InvalidInput for any other text; host names are not resolved.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& text);

} // namespace cyclamenstair

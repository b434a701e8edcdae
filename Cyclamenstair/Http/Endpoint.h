#pragma once

#include <Cyclamenstair/Core/Result.h>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace cyclamenstair {

/// Returns the endpoint of an "IP:PORT" text, or an error of kind InvalidInput; names are not resolved.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& text);

} // namespace cyclamenstair

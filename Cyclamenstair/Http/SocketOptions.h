#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <boost/asio/ip/tcp.hpp>

namespace cyclamenstair {

/// Sets the options of an open connection: no delay of small writes, and detection of a silent peer after `silence`.
/// Options that the system refuses are left as they are; the time-outs above the socket still hold.
void configureSocket(boost::asio::ip::tcp::socket& socket, Duration silence);

} // namespace cyclamenstair

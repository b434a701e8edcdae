#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <boost/asio/ip/tcp.hpp>

namespace cyclamenstair {

/// Disables Nagle's algorithm, and enables keep-alive probes and a write timeout that detect a dead peer after
/// `deadPeerTimeout`. Errors are ignored: timeouts at higher layers still apply.
void configureSocket(boost::asio::ip::tcp::socket& socket, Duration deadPeerTimeout);

/// Opens a socket for a connection whose local port a listener can bind, also while the closed connection is in
/// TIME_WAIT. If the socket cannot be opened, `ec` is set.
void openClientSocket(
    boost::asio::ip::tcp::socket& socket, const boost::asio::ip::tcp& protocol, boost::system::error_code& ec);

} // namespace cyclamenstair

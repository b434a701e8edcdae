#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <boost/asio/ip/tcp.hpp>

namespace cyclamenstair {

/// Disables Nagle's algorithm, and enables keep-alive probes and a write timeout that detect a dead peer after
/// `deadPeerTimeout`. Errors are ignored: timeouts at higher layers still apply.
void configureSocket(boost::asio::ip::tcp::socket& socket, Duration deadPeerTimeout);

} // namespace cyclamenstair

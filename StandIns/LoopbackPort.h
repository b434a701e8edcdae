#pragma once

#include <cstdint>
#include <string>

namespace cyclamenstair {

/// Returns a port of the loopback address that no other process which calls this function gets while this process runs,
/// and that was free a moment ago. Ports are taken from blocks below the range that the system uses for outgoing
/// connections. Each block is claimed by a socket bound to its first port.
/// Throws std::runtime_error if no block is left.
uint16_t freeLoopbackPort();

/// Returns 127.0.0.1 with a port as of freeLoopbackPort.
std::string freeLoopbackAddress();

} // namespace cyclamenstair

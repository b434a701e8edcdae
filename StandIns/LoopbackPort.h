#pragma once

#include <cstdint>
#include <string>

namespace cyclamenstair {

/// Returns a free port on the loopback address. No other process that allocates ports with this function gets the same
/// port while this process runs. Ports come from blocks below the system's range of ephemeral ports; a process reserves
/// a block by binding a socket to its first port. Thread-safe.
/// Throws std::runtime_error if all blocks are in use.
uint16_t allocateLoopbackPort();

/// Returns 127.0.0.1:PORT with a port from allocateLoopbackPort.
std::string allocateLoopbackAddress();

} // namespace cyclamenstair

#pragma once

#include <string>

namespace cyclamenstair {

/// Returns 127.0.0.1 with a port that was free a moment ago.
std::string freeLoopbackAddress();

} // namespace cyclamenstair

#pragma once

namespace cyclamenstair {

/// Version and git commit of this build, such as "0.1.0-1a2b3c4d5e6f", or "0.1.0-unknown" if it was configured without
/// git.
extern const char* const buildName;

} // namespace cyclamenstair

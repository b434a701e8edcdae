#pragma once

#include <sys/types.h>

namespace cyclamenstair {

/// Returns whether a process is stopped by a signal.
bool isStopped(pid_t process);

} // namespace cyclamenstair

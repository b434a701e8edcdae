#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <optional>
#include <sys/types.h>

namespace cyclamenstair {

/// Returns the processor time that all threads of a process have used, or no value if it has ended.
std::optional<Duration> processorTimeOf(pid_t process);

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Telemetry/ProcessInfo.h>

#include <string>

namespace cyclamenstair {

/// Returns name, size and hash of the settings file. Only regular files are read, as another one can be read once.
ProcessStart describeSettings(const std::string& path);

} // namespace cyclamenstair

#pragma once

#include <Cyclamenstair/Telemetry/Log.h>
#include <Cyclamenstair/Telemetry/Metrics.h>

#include <vector>

namespace cyclamenstair {

/// Names the build of this program in logs and metrics. `build` must be valid until the process ends.
void setProcessBuild(const char* build);

/// Returns the name of the build; "unknown" if none was set. Usable in a signal handler.
const char* processBuild();

/// Returns the time since the process was started, as this library knows it: since its static objects were initialised.
Duration processUptime();

/// What the log tells of the start of a node's process.
struct ProcessStart {
    std::string settingsFile;
    std::string
        settingsHash; ///< SHA-256 of the file's text in hexadecimal digits; empty if it could not be read again.
    size_t settingsBytes { 0 };
    int attempts { 1 };
};

/// Writes the line `node_started`: `fields`, the build, the settings and the limits of the process.
void logNodeStarted(std::vector<LogField> fields, const ProcessStart& start);

/// Sets the metrics of the process and of its log. Reads /proc/self; metrics that cannot be read are left out.
void setProcessMetrics(Metrics& metrics);

} // namespace cyclamenstair

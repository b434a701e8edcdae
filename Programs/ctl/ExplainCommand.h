#pragma once

#include <Programs/ctl/OperatorClient.h>

#include <string>
#include <vector>

namespace cyclamenstair::ctl {

/// Prints the log lines of a request sorted by time, and the number of malformed lines.
ExitStatus explainRequest(const std::string& requestId, const std::vector<std::string>& logPaths);

} // namespace cyclamenstair::ctl

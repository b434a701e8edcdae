#pragma once

#include <Programs/ctl/OperatorClient.h>

#include <string>
#include <vector>

namespace cyclamenstair::ctl {

/// Prints what the logs say of a request, in the order of time, and counts the lines that could not be read.
ExitStatus explainRequest(const std::string& requestId, const std::vector<std::string>& logPaths);

} // namespace cyclamenstair::ctl

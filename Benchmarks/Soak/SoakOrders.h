#pragma once

#include <StandIns/RegisteredTargetStandIn.h>

#include <memory>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Returns descriptions of orders of two nodes under one fencing token, or too soon after each other, over all engines.
std::vector<std::string> findOrderConflicts(const std::vector<std::unique_ptr<RegisteredTargetStandIn>>& engines);

} // namespace cyclamenstair

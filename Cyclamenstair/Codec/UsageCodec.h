#pragma once

#include <Cyclamenstair/Admission/CallerLimiter.h>

#include <string_view>

namespace cyclamenstair {

/// Returns the demands as a gossip payload.
std::string encodeUsage(const CallerDemands& demands);

/// Throws Exception on malformed input.
CallerDemands decodeUsage(std::string_view bytes);

} // namespace cyclamenstair

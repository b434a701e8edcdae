#pragma once

#include <Cyclamenstair/Admission/CallerLimiter.h>

#include <string_view>

namespace cyclamenstair {

/// Returns the demands as a FlatBuffers CallerUsageRecord, the payload of a gossip entry.
std::string encodeUsage(const CallerDemands& demands);

/// Decodes a CallerUsageRecord; throws Exception if `bytes` are malformed. Negative demands are decoded as 0.
CallerDemands decodeUsage(std::string_view bytes);

} // namespace cyclamenstair

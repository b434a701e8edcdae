#pragma once

#include <Cyclamenstair/Bookings/ClaimRecord.h>

#include <string_view>

namespace cyclamenstair {

/// Returns the claim as a FlatBuffers ClaimRecord.
std::string encodeClaim(const ClaimRecord& claim);

/// Decodes a ClaimRecord; throws Exception if `bytes` are malformed. An unknown state is decoded as
/// ClaimState::Unknown.
ClaimRecord decodeClaim(std::string_view bytes);

} // namespace cyclamenstair

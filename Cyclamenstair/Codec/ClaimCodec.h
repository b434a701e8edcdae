#pragma once

#include <Cyclamenstair/Bookings/ClaimRecord.h>

#include <string_view>

namespace cyclamenstair {

/// Returns the record in encoded form.
std::string encodeClaim(const ClaimRecord& claim);

/// Throws Exception on malformed input.
ClaimRecord decodeClaim(std::string_view bytes);

} // namespace cyclamenstair

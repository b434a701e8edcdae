#pragma once

#include <string>
#include <string_view>

namespace cyclamenstair {

/// Returns `bytes` encoded as base64 with padding.
std::string encodeBase64(std::string_view bytes);

/// Decodes padded base64; throws Exception if `text` is malformed.
std::string decodeBase64(std::string_view text);

} // namespace cyclamenstair

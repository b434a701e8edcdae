#pragma once

#include <string>
#include <string_view>

namespace cyclamenstair {

/// Returns `count` cryptographically secure random bytes; throws Exception if the system provides none.
std::string randomBytes(size_t count);

/// Returns 16 random bytes as 32 hexadecimal digits, for ids and tokens.
std::string randomId();

/// Returns the SHA-256 hash of `bytes` as 64 hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// Returns the HMAC-SHA256 of `bytes` (32 bytes).
std::string hmacSha256(std::string_view key, std::string_view bytes);

/// Compares in constant time: the duration depends only on the lengths.
bool equalsConstantTime(std::string_view a, std::string_view b);

/// Returns "salt$hex(SHA-256(salt + token))" with a random salt.
std::string hashToken(std::string_view token);

/// Returns whether `hash` is a hash of `token` in the format of hashToken(); false if `hash` is malformed.
bool verifyToken(std::string_view token, std::string_view hash);

} // namespace cyclamenstair

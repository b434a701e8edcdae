#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair {

/// Returns the 64-bit xxHash of `text`. The value is the same on all nodes and platforms.
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

/// Returns the rendezvous weight of `node` for `key`; the node with the highest weight owns the key.
uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// Returns the element of `nodes` that owns `key` by rendezvous hashing, or an empty string if `nodes` is empty.
std::string rendezvousOwner(std::string_view key, const std::vector<std::string>& nodes);

} // namespace cyclamenstair

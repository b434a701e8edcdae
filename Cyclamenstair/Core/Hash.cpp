#include <Cyclamenstair/Core/Hash.h>

#include <xxhash.h>

namespace cyclamenstair {

uint64_t stableHash(std::string_view text, uint64_t seed) { return XXH64(text.data(), text.size(), seed); }

uint64_t rendezvousWeight(std::string_view key, std::string_view node) { return stableHash(node, stableHash(key)); }

std::string rendezvousOwner(std::string_view key, const std::vector<std::string>& nodes)
{
    std::string owner;
    uint64_t maxWeight = 0;
    for (const auto& node : nodes) {
        const uint64_t weight = rendezvousWeight(key, node);
        // Ties are broken by name, so that the result does not depend on the order of `nodes`.
        if (owner.empty() || weight > maxWeight || (weight == maxWeight && node < owner)) {
            owner = node;
            maxWeight = weight;
        }
    }
    return owner;
}

} // namespace cyclamenstair

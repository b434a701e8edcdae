#pragma once

#include <cstdint>
#include <optional>

/// A store that returns from an older copy gives out again the revisions of the writes that it lost. Each return starts
/// a new era, whose number is one higher. A revision that includes its era grows over all eras, so that it can order
/// records and serve as a fencing token.
namespace cyclamenstair {

/// Leaves 2^40 revisions in an era. With 2^13 eras a revision with its era is below 2^53, so that every reader of JSON
/// numbers represents it exactly.
inline constexpr int eraShift = 40;
inline constexpr int64_t maxRevisionInEra = (int64_t { 1 } << eraShift) - 1;
inline constexpr int64_t maxEra = (int64_t { 1 } << 13) - 1;

/// Returns the revision with its era, or no value if one of them is out of range. In era 0, of a store that states no
/// era, the revision is unchanged.
constexpr std::optional<int64_t> withEra(int64_t era, int64_t revision)
{
    if (era < 0 || era > maxEra || revision < 0 || revision > maxRevisionInEra)
        return std::nullopt;
    return (era << eraShift) + revision;
}

constexpr int64_t eraOf(int64_t revision) { return revision >> eraShift; }

/// Returns the revision as the store counts it within its era.
constexpr int64_t revisionInEra(int64_t revision) { return revision & maxRevisionInEra; }

} // namespace cyclamenstair

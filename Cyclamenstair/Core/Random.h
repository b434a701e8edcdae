#pragma once

#include <cstdint>
#include <random>

namespace cyclamenstair {

/// Random number generator. Decision libraries receive it as an argument, so that their choices are reproducible from a
/// seed.
using Random = std::mt19937_64;

/// Returns a uniformly distributed index in [0, count). `count` must be positive.
inline size_t randomIndex(Random& random, size_t count)
{
    return std::uniform_int_distribution<size_t>(0, count - 1)(random);
}

/// Returns a uniformly distributed number in [0, 1).
inline double randomUnit(Random& random) { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }

} // namespace cyclamenstair

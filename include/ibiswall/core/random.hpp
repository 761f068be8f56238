// The random number generator. Seeded explicitly, so that a run can be reproduced.

#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace ibiswall {

using Random = std::mt19937_64;

/// Returns a uniformly distributed index below `count`.
/// @param count at least 1
inline std::size_t drawIndex(Random &random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

} // namespace ibiswall

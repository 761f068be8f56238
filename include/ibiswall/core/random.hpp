// The seeded generator behind every random decision, so that a run can be replayed.

#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace ibiswall {

/// The generator used throughout.
using Random = std::mt19937_64;

/// Draws an index below a count.
/// @param count at least one
inline std::size_t drawIndex(Random &random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

} // namespace ibiswall

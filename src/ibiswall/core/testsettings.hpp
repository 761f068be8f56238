// Settings that seeded tests take from the environment.

#pragma once

#include <cstdint>
#include <cstdlib>

namespace ibiswall {

/// Reads a whole number from an environment variable, such as IBISWALL_HISTORIES or IBISWALL_SEED.
/// @param fallback the number when the variable is not set
inline std::uint64_t fromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace ibiswall

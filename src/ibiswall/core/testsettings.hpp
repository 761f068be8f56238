// Environment settings of randomized tests.

#pragma once

#include <cstdint>
#include <cstdlib>

namespace ibiswall {

/// Returns the integer value of an environment variable, such as IBISWALL_HISTORIES or IBISWALL_SEED.
/// @param fallback value if the variable is not set
inline std::uint64_t fromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace ibiswall

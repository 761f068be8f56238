// Settings of tests from the environment, for runs by hand.

#pragma once

#include <cstdlib>

namespace ibiswall {

/// A number in the environment, or the default if the variable is not set.
inline unsigned numberFromEnvironment(const char *name, unsigned byDefault)
{
    const char *text = std::getenv(name);
    return text == nullptr ? byDefault : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

/// First seed of tests with seeds.
inline unsigned firstSeed()
{
    return numberFromEnvironment("IBISWALL_SEED", 1);
}

} // namespace ibiswall

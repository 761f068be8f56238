// How long an entry may let agents start tasks without having read the configuration again.

#pragma once

#include <ibiswall/base.hpp>

namespace ibiswall {

/// Time after a read of the platform began in which agents may still start tasks on its strength.
constexpr Millis freshnessLife{2500};

/// When an entry last knew the newest configuration.
struct Freshness
{
    /// Start of the latest successful read of the platform. Never falls.
    Millis asOf_;
    /// False until the first successful read.
    bool known_ = false;
};

/// Records a successful read.
/// @param began when the read was sent
void noteRead(Freshness &freshness, Millis began);

/// How long an agent may start tasks, counted from the moment it asked.
/// Zero means that no grant can be given.
Millis grantLength(const Freshness &freshness, Millis now);

} // namespace ibiswall

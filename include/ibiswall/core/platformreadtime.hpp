// When an entry last read the platform, and how long such knowledge counts.

#pragma once

#include <ibiswall/base.hpp>

namespace ibiswall {

/// Time after a read of the platform began, or a question to another entry was sent, in which the answer counts.
constexpr Millis readValidity{2500};

/// When an entry last knew the newest configuration.
struct PlatformReadTime
{
    /// Start of the latest successful read of the platform. Never falls.
    Millis asOf_;
    /// False until the first successful read.
    bool known_ = false;
};

/// Records a successful read.
/// @param began when the read was sent
void recordRead(PlatformReadTime &freshness, Millis began);

} // namespace ibiswall

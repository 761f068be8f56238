// The time of the last platform read, and how long its result remains valid.

#pragma once

#include <ibiswall/base.hpp>

namespace ibiswall {

/// Validity of a result, counted from the start of the platform read or from sending the query to a peer.
constexpr Millis readValidity{2500};

/// The time at which an entry last had the latest configuration.
struct PlatformReadTime
{
    /// Start of the latest successful read of the platform. Never decreases.
    Millis asOf_;
    /// False until the first successful read.
    bool known_ = false;
};

/// Records a successful read.
/// @param startedAt when the request was sent
void recordRead(PlatformReadTime &readTime, Millis startedAt);

} // namespace ibiswall

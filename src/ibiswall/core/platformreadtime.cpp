// Keeps the latest read of the platform.

#include <ibiswall/core/platformreadtime.hpp>

namespace ibiswall {

void recordRead(PlatformReadTime &freshness, Millis began)
{
    if (!freshness.known_ || began > freshness.asOf_) {
        freshness.asOf_ = began;
        freshness.known_ = true;
    }
}

} // namespace ibiswall

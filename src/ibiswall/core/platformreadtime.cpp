// Keeps the start time of the latest successful platform read.

#include <ibiswall/core/platformreadtime.hpp>

namespace ibiswall {

void recordRead(PlatformReadTime &readTime, Millis startedAt)
{
    if (!readTime.known_ || startedAt > readTime.asOf_) {
        readTime.asOf_ = startedAt;
        readTime.known_ = true;
    }
}

} // namespace ibiswall

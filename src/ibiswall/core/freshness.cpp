// Computes grants from the age of what an entry knows.

#include <ibiswall/core/freshness.hpp>

namespace ibiswall {

void noteRead(Freshness &freshness, Millis began)
{
    if (!freshness.known_ || began > freshness.asOf_) {
        freshness.asOf_ = began;
        freshness.known_ = true;
    }
}

Millis grantLength(const Freshness &freshness, Millis now)
{
    if (!freshness.known_) {
        return {0};
    }
    const Millis left = freshness.asOf_ + freshnessLife - now;
    return left > Millis{0} ? left : Millis{0};
}

} // namespace ibiswall

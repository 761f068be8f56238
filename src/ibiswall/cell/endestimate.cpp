// Estimates when a task would end.

#include <ibiswall/cell/endestimate.hpp>

#include <algorithm>
#include <cmath>

namespace ibiswall::cell {

namespace {

// Bounds of a learned spread, for kinds of which all runs took the same time and for those without any regularity.
constexpr double minSpread = 0.2;
constexpr double maxSpread = 0.8;

} // namespace

EndEstimate estimateEnd(Millis estimate, const ExpectedRatio &kind, Millis slack)
{
    const double expected = static_cast<double>(std::max<std::int64_t>(estimate.count_, 1)) * kind.ratio_;
    const double perSpread = 1 / std::clamp(kind.spread_, minSpread, maxSpread);
    // A task that is due already counts as having a millisecond left: late everywhere.
    const double left = static_cast<double>(std::max<std::int64_t>(slack.count_, 1));
    return {std::log(left / expected) * perSpread, perSpread};
}

} // namespace ibiswall::cell

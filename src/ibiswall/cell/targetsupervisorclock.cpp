// Follows the clock of a supervised target, by which its leases end.

#include <ibiswall/cell/targetsupervisor.hpp>

namespace ibiswall::cell {

namespace {

// The clock of a target may be this slow.
constexpr std::int64_t maxDriftPercent = 2;
constexpr std::int64_t percent = 100;

Millis drift(Millis age)
{
    return {(age.count_ * maxDriftPercent + percent - 1) / percent};
}

} // namespace

// The target has sent this reading before now.
void TargetSupervisor::readClock(std::int64_t clock, Millis now)
{
    if (!clock_ || clock >= earliestClock(now)) {
        clock_ = clock;
        clockAt_ = now;
    }
}

// Whether the clock has been read so lately that a lease by it can last.
bool TargetSupervisor::isClockKnown(Millis now) const
{
    return clock_ && drift(now - clockAt_) <= settings_.maxClockError_;
}

// The target's clock is not behind this now. A lease that ends by it ends in time even if the clock is as slow as may be.
std::int64_t TargetSupervisor::earliestClock(Millis now) const
{
    const Millis age = now - clockAt_;
    return *clock_ + (age - drift(age)).count_;
}

} // namespace ibiswall::cell

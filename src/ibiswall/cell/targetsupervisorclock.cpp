// Decides when starts and leases can be requested, and requests leases by the clock of the target.

#include <ibiswall/cell/targetsupervisor.hpp>

#include <algorithm>

namespace ibiswall::cell {

namespace {

// The clock of a target may be this slow.
constexpr std::int64_t maxDriftPercent = 2;
constexpr std::int64_t percent = 100;
// Minimum remaining agent lease for a start to be worth sending.
constexpr Millis minLease{50};

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

bool TargetSupervisor::isReady(Millis now) const
{
    return info_ && !agentDraining_ && !info_->draining_ && isClockKnown(now) && now + minLease < agentLeaseUntil_
        && strayLeaseUntil_ <= agentLeaseUntil_ && !fullReportDue_;
}

// Whether calls may request a lease now.
bool TargetSupervisor::mayRequestLease(Millis now) const
{
    return isClockKnown(now) && now + minLease < agentLeaseUntil_ && responsive_
        && (runs_.empty() || now <= lastContactAt_ + settings_.unresponsiveAfter_);
}

// Makes a call request the longest lease that the agent lease allows.
void TargetSupervisor::requestLease(TargetCall &call, Millis now)
{
    call.leaseUntil_ = {std::min((now + settings_.maxLease_).count_, agentLeaseUntil_.count_)};
    call.leaseEnd_ = earliestClock(now) + (call.leaseUntil_ - now).count_;
    ++leasesInFlight_;
}

} // namespace ibiswall::cell

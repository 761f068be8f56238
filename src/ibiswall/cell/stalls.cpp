// Detects stalled targets and their recovery.

#include <ibiswall/cell/stalls.hpp>

#include <algorithm>
#include <cmath>

namespace ibiswall::cell {

namespace {

// Spreads above the expected run time beyond which a run is overdue. Apart from long tasks, 2 % of runs take longer.
constexpr double overdueSpreads = 2;
// Time for order and report to pass, at a round trip of 3 ms, and an agent with 0.15 core that is busy.
constexpr Millis messageTime{50};
// 3 % of tasks are this many times as long as estimated. A single run beyond it counts as two overdue ones.
constexpr std::int64_t longTaskFactor = 7;
// Overdue runs since the latest timely end with which a target has stalled. One is probably a long task.
constexpr std::size_t overdueToStall = 2;
// The same if other runs still end in time, for a target that lets only a part of its tasks hang. A target with ten runs of a kind of
// which 3 % are long has one overdue run on average.
constexpr std::size_t overdueAmongTimely = 4;
// One target in so many may be considered stalled.
constexpr std::size_t targetsPerStalled = 4;
// Pause before a target is tried again; doubles with each failure. The first is a fraction of the objective of a short job (142 ms),
// and the last is about as long as the longest stalls seen (5 to 6 s).
constexpr Millis firstPause{125};
constexpr Millis maxPause{4000};

std::size_t weightOf(const OverdueRun &overdue, Millis now)
{
    return now >= overdue.since_ + Millis{longTaskFactor * overdue.limit_.count_} ? 2 : 1;
}

} // namespace

Millis overdueLimit(Millis estimate, const ExpectedRatio &expected)
{
    const double run = static_cast<double>(std::max<std::int64_t>(estimate.count_, 1)) * expected.ratio_;
    return Millis{static_cast<std::int64_t>(run * std::exp(overdueSpreads * expected.spread_))} + messageTime;
}

bool hasStalled(const StallState &state, std::size_t runs, Millis now)
{
    std::size_t all = 0;
    std::size_t sinceTimely = 0;
    std::int64_t shortestLimit = 0;
    for (const OverdueRun &overdue : state.overdue_) {
        all += weightOf(overdue, now);
        if (overdue.since_ > state.latestTimely_) {
            shortestLimit = sinceTimely == 0 ? overdue.limit_.count_ : std::min(shortestLimit, overdue.limit_.count_);
            sinceTimely += weightOf(overdue, now);
        }
    }
    // Two long tasks may become overdue within a few milliseconds, but a target that works completes others meanwhile.
    const bool silent = (now - state.latestTimely_).count_ >= shortestLimit / 2;
    if (sinceTimely >= overdueToStall && silent) {
        return true;
    }
    return all >= overdueAmongTimely && 2 * state.overdue_.size() >= runs;
}

bool maySuspectAnother(std::size_t stalled, std::size_t present)
{
    return stalled == 0 ? present > 1 : (stalled + 1) * targetsPerStalled <= present;
}

void beginStall(StallState &state, Millis now)
{
    state.stalled_ = true;
    state.pause_ = firstPause;
    failProbe(state, now);
}

void failProbe(StallState &state, Millis now)
{
    state.probe_ = {};
    state.probeAt_ = now + state.pause_;
    state.pause_ = {std::min(2 * state.pause_.count_, maxPause.count_)};
}

bool recordEnd(StallState &state, std::uint64_t run, bool done, bool timely, Millis now)
{
    if (done && timely) {
        state.latestTimely_ = now;
    }
    if (!state.stalled_) {
        return false;
    }
    if (done && run != state.probe_.number_) {
        // It runs tasks to their end again: tries it at once.
        state.probeAt_ = now;
        return false;
    }
    if (run != state.probe_.number_) {
        return false;
    }
    if (done && timely) {
        state = {};
        state.latestTimely_ = now;
        return true;
    }
    failProbe(state, now);
    return false;
}

} // namespace ibiswall::cell

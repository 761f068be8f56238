// Compares targets by when a task would end on them.

#pragma once

#include <ibiswall/cell/runtimes.hpp>

namespace ibiswall::cell {

/// When a task would end on an average target, compared with when it is due.
struct EndEstimate
{
    /// Logarithm of the time until the task is due over its expected run time, in units of the spread of a run time. Below 0 the task
    /// is expected to be late.
    double margin_ = 0;
    /// Margin that a target takes by each unit of its logarithmic factor.
    double marginPerFactor_ = 0;
};

/// @param estimate the caller's estimate of the run time
/// @param kind expectation for the kind of work on an average target
/// @param slack time until the task has to end
EndEstimate estimateEnd(Millis estimate, const ExpectedRatio &kind, Millis slack);

/// Score of a target by the expected end of a task on it, in shares of the target's capacity. Targets on which the task would end too
/// late are worse than all others, the later the worse.
/// @param logFactor logarithm of the target's factor
inline double endScore(const EndEstimate &estimate, double logFactor)
{
    // A task with this margin is late with a probability of 2 %; less is not worth a fuller target.
    constexpr double comfortableMargin = 2;
    // A task without margin is late with a probability of a half, which outweighs any difference in free capacity.
    constexpr double lateRiskWeight = 1;
    // Tasks that are in time anywhere leave fast targets to others. Low, since a slow target is in use for longer.
    constexpr double keepFastWeight = 0.1;
    // More than the sum of all other penalties.
    constexpr double lateWeight = 20;
    // Differences of more than the error of a factor (6 %) outweigh common differences in free capacity.
    constexpr double earliestWeight = 4;
    const double margin = estimate.margin_ - logFactor * estimate.marginPerFactor_;
    if (margin < 0) {
        return -lateWeight - earliestWeight * logFactor;
    }
    return margin < comfortableMargin ? lateRiskWeight * (margin / comfortableMargin - 1) : keepFastWeight * logFactor;
}

} // namespace ibiswall::cell

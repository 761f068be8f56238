// Health tracking of targets: failures raise a score, and at a limit the target is paused with exponential backoff.

#pragma once

#include <ibiswall/core/job.hpp>
#include <map>
#include <string>

namespace ibiswall {

/// Failure score at which a target is paused, and the lower limit that applies while a target is on probation after a pause.
constexpr double failureScoreLimit = 2.5;
constexpr double probationScoreLimit = 0.5;

/// First and longest pause of a failing target; the pause doubles each time, up to the longest.
constexpr Millis firstPause{500};
constexpr Millis longestPause{16000};

/// Smoothed failure rate of each kind across all targets.
struct KindFailures
{
    std::map<std::string, double, std::less<>> failureShare_;
};

/// Concurrency limit of a target before its first success, and after its return to service.
constexpr int slowStartLimit = 2;

/// Failure score of a rejection by the agent. Below 1 because the agent may soon be able to start tasks again.
constexpr double rejectionScore = 0.6;

/// The health of one target as seen by one entry.
struct Health
{
    /// Sum of failures since the last success or pause, each weighted by how rarely its kind fails on all targets.
    double failureScore_ = 0;
    /// No task is sent to the target before this time.
    Millis pausedUntil_;
    /// Duration of the next pause.
    Millis nextPause_ = firstPause;
    /// Maximum number of tasks in flight at the target. Incremented by each success.
    int concurrencyLimit_ = slowStartLimit;
};

/// Updates the health of a target with the outcome of a task.
void recordOutcome(Health &health, KindFailures &kinds, Millis now, std::string_view kind, const TaskOutcome &outcome);

/// Restarts the ramp-up of a target that returns to service.
void beginSlowStart(Health &health);

} // namespace ibiswall

// The health of one agent's target, judged from how its tasks end.

#pragma once

#include <ibiswall/core/job.hpp>
#include <map>
#include <string>

namespace ibiswall {

/// Blame at which a target is left alone, and at which one that was is left alone again.
constexpr double failureScoreLimit = 2.5;
constexpr double probationScoreLimit = 0.5;

/// First and longest time for which a target is left alone; doubled each time.
constexpr Millis firstPause{500};
constexpr Millis longestPause{16000};

/// Smoothed share of failures of each kind over all targets.
struct KindFailures
{
    std::map<std::string, double, std::less<>> share_;
};

/// Most tasks that a target is sent at a time before its first success.
constexpr int slowStartLimit = 2;

/// Blame for a refusal of the agent, which may soon be able to start tasks again.
constexpr double rejectionScore = 0.6;

/// The health of one target, as one entry sees it.
struct Health
{
    /// Sum of recent failures, each weighted by how rarely its kind fails elsewhere.
    double failureScore_ = 0;
    /// The target is sent nothing before this moment.
    Millis pausedUntil_;
    /// Next pause.
    Millis pause_ = firstPause;
    /// Most tasks that the target may be sent at a time. Grows with each success.
    int concurrencyLimit_ = slowStartLimit;
};

/// Takes the end of a task in.
void recordOutcome(Health &health, KindFailures &kinds, Millis now, std::string_view kind, const TaskOutcome &outcome);

/// Lets a target that returns take work gently.
void beginSlowStart(Health &health);

} // namespace ibiswall
